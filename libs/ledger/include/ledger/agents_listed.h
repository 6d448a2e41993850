#ifndef LEDGER_AGENTS_LISTED_H_
#define LEDGER_AGENTS_LISTED_H_

#include <set>

#include "base/ids.h"

namespace godwit::ledger {

// Event: lists every agent incarnation in the fleet record, including removed
// ones, according to a read that began after the previous event was given. An
// agent under a grant that is missing from two events in a row was dropped from
// the record and counts as removed.
struct AgentsListed {
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
