#ifndef LEDGER_AGENT_REMOVED_H_
#define LEDGER_AGENT_REMOVED_H_

#include "base/ids.h"

namespace godwit::ledger {

// Event: the fleet record says that an agent incarnation is gone for good.
// Reservations started there and neither settled nor released become held;
// what arrives for them later is ignored.
struct AgentRemoved {
  // The agent incarnation.
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
