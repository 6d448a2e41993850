#ifndef LEDGER_AGENTS_CHANGED_H_
#define LEDGER_AGENTS_CHANGED_H_

#include <set>

#include "base/ids.h"

namespace godwit::ledger {

// Event: the set of agents that this router may send runs to changed.
struct AgentsChanged {
  // All usable agents.
  std::set<base::Incarnation> usable;

  friend bool operator==(const AgentsChanged& a, const AgentsChanged& b) {
    return a.usable == b.usable;
  }
  friend bool operator!=(const AgentsChanged& a, const AgentsChanged& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_AGENTS_CHANGED_H_
