#ifndef LEDGER_AGENT_ACCOUNT_H_
#define LEDGER_AGENT_ACCOUNT_H_

#include <tuple>

#include "base/ids.h"
#include "ledger/account_state.h"

namespace godwit::ledger {

// Usage of a grant at one agent incarnation.
struct AgentAccount {
  // Tokens billed at the agent since the grant began; never decreases.
  base::Tokens billed = 0;
  // Whether the usage may still grow.
  AccountState state = AccountState::kOpen;

  friend bool operator==(const AgentAccount& a, const AgentAccount& b) {
    return std::tie(a.billed, a.state) == std::tie(b.billed, b.state);
  }
  friend bool operator!=(const AgentAccount& a, const AgentAccount& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_AGENT_ACCOUNT_H_
