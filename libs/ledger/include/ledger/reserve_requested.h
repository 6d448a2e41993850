#ifndef LEDGER_RESERVE_REQUESTED_H_
#define LEDGER_RESERVE_REQUESTED_H_

#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Event: an attempt needs tokens. Answered by ReserveGranted or ReserveRefused,
// immediately or by `expires`.
struct ReserveRequested {
  base::AttemptId attempt;
  // The budget to charge.
  base::BudgetId budget;
  // Maximum usage of the attempt; at least 0.
  base::Tokens amount = 0;
  // Agents where the attempt can run; the grant will list one of them. Empty:
  // any usable agent.
  std::vector<base::Incarnation> agents;
  // Deadline of the answer.
  base::Millis expires;

  friend bool operator==(const ReserveRequested& a, const ReserveRequested& b) {
    return std::tie(a.attempt, a.budget, a.amount, a.agents, a.expires) ==
           std::tie(b.attempt, b.budget, b.amount, b.agents, b.expires);
  }
  friend bool operator!=(const ReserveRequested& a, const ReserveRequested& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RESERVE_REQUESTED_H_
