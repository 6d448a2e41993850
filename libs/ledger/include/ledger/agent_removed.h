#ifndef LEDGER_AGENT_REMOVED_H_
#define LEDGER_AGENT_REMOVED_H_

#include "base/ids.h"

namespace godwit::ledger {

// Event: the fleet record marks an agent incarnation as permanently removed.
// Reservations started there that are neither settled nor released become held;
// later events for them are ignored.
struct AgentRemoved {
  base::Incarnation agent;

  friend bool operator==(const AgentRemoved& a, const AgentRemoved& b) {
    return a.agent == b.agent;
  }
  friend bool operator!=(const AgentRemoved& a, const AgentRemoved& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_AGENT_REMOVED_H_
