#ifndef LEDGER_GRANT_H_
#define LEDGER_GRANT_H_

#include <cstdint>
#include <map>
#include <tuple>

#include "base/ids.h"
#include "ledger/agent_account.h"
#include "ledger/grant_closure.h"
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
  // Set if the grant is retired: it is closed, and stays in the record so that
  // one in which it is still open can't open it again. Its amount is what
  // counts: usage that is billed, and tokens in doubt.
  GrantClosure closure = GrantClosure::kNone;
  // Orders the grants of the holder's process in the budget, from 1; of a
  // folded one, the last that it includes. Zero if the holder's version does
  // not number them.
  int64_t sequence = 0;
  // Orders the amounts that the holder set, from 1; zero if its version does
  // not number them.
  int64_t revision = 0;

  // Returns the tokens billed at all agents.
  base::Tokens billed() const noexcept;
  // Ends all accounts. They are complete if all of the amount is billed.
  void FinishAccounts();

  friend bool operator==(const Grant& a, const Grant& b) {
    return std::tie(a.holder, a.amount, a.state, a.agents, a.closure,
                    a.sequence, a.revision) ==
           std::tie(b.holder, b.amount, b.state, b.agents, b.closure,
                    b.sequence, b.revision);
  }
  friend bool operator!=(const Grant& a, const Grant& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_H_
