#ifndef LEDGER_AGENTS_LISTED_H_
#define LEDGER_AGENTS_LISTED_H_

#include <set>

#include "base/ids.h"

namespace godwit::ledger {

// Event: every agent incarnation that the fleet record names, gone ones
// included, by a read that began after the event before was given. A listed
// agent missing from two in a row was dropped from the record and is gone.
struct AgentsListed {
  // All of them.
  std::set<base::Incarnation> agents;

  friend bool operator==(const AgentsListed& a, const AgentsListed& b) {
    return a.agents == b.agents;
  }
  friend bool operator!=(const AgentsListed& a, const AgentsListed& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_AGENTS_LISTED_H_
