#ifndef LEDGER_GRANT_H_
#define LEDGER_GRANT_H_

#include <map>
#include <optional>
#include <tuple>

#include "base/ids.h"
#include "ledger/agent_account.h"
#include "ledger/grant_state.h"
#include "ledger/spend_promise.h"

namespace godwit::ledger {

// A share of a budget that one router incarnation may spend.
struct Grant {
  // The router incarnation that may spend it.
  base::Incarnation holder;
  // Tokens set aside, what is already billed under it included.
  base::Tokens amount = 0;
  // Whether it may still be spent.
  GrantState state = GrantState::kActive;
  // The agent incarnations where it may be spent, and their usage.
  std::map<base::Incarnation, AgentAccount> agents;
  // Set by holders that meter usage themselves.
  std::optional<SpendPromise> promise;

  // Tokens billed at all agents.
  base::Tokens billed() const noexcept;

  friend bool operator==(const Grant& a, const Grant& b) {
    return std::tie(a.holder, a.amount, a.state, a.agents, a.promise) ==
           std::tie(b.holder, b.amount, b.state, b.agents, b.promise);
  }
  friend bool operator!=(const Grant& a, const Grant& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_H_
