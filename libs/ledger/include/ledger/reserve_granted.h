#ifndef LEDGER_RESERVE_GRANTED_H_
#define LEDGER_RESERVE_GRANTED_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Command: the attempt may run under a grant, at agents for which
// BudgetManager::MaySpendAt holds.
struct ReserveGranted {
  base::AttemptId attempt;
  // The grant to charge.
  base::GrantId grant;

  friend bool operator==(const ReserveGranted& a, const ReserveGranted& b) {
    return std::tie(a.attempt, a.grant) == std::tie(b.attempt, b.grant);
  }
  friend bool operator!=(const ReserveGranted& a, const ReserveGranted& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RESERVE_GRANTED_H_
