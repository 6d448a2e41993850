#ifndef LEDGER_RESERVE_REQUESTED_H_
#define LEDGER_RESERVE_REQUESTED_H_

#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Event: an attempt needs tokens. Answered by ReserveGranted or ReserveRefused,
// at once or by `expires`.
struct ReserveRequested {
  // The attempt.
  base::AttemptId attempt;
  // The budget that pays.
  base::BudgetId budget;
  // Worst case of the attempt; at least 0.
  base::Tokens amount = 0;
  // Agents where it could run; the grant will list one of them. Empty: any
  // usable agent.
  std::vector<base::Incarnation> agents;
  // Answered before this time.
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
