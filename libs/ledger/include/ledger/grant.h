#ifndef LEDGER_GRANT_H_
#define LEDGER_GRANT_H_

#include <map>
#include <tuple>

#include "base/ids.h"
#include "ledger/agent_account.h"
#include "ledger/grant_state.h"

namespace godwit::ledger {

// A share of a budget that one router incarnation may spend.
struct Grant {
  // The router incarnation that may spend it.
  base::Incarnation holder;
  // Tokens set aside, including those already billed under the grant.
  base::Tokens amount = 0;
  // Whether it may still be spent.
  GrantState state = GrantState::kActive;
  // The agent incarnations where it may be spent, and their usage.
  std::map<base::Incarnation, AgentAccount> agents;

  // Returns the tokens billed at all agents.
  base::Tokens billed() const noexcept;

  friend bool operator==(const Grant& a, const Grant& b) {
    return std::tie(a.holder, a.amount, a.state, a.agents) ==
           std::tie(b.holder, b.amount, b.state, b.agents);
  }
  friend bool operator!=(const Grant& a, const Grant& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_H_
