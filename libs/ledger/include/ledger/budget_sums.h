#ifndef LEDGER_BUDGET_SUMS_H_
#define LEDGER_BUDGET_SUMS_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

struct Budget;

// What a record counts of one budget, in tokens.
struct BudgetSums {
  // Of closed grants: known to be used, and in doubt.
  base::Tokens closed_billed = 0;
  base::Tokens closed_held = 0;
  // Of open grants: known to be used, and set aside, which includes it.
  base::Tokens open_billed = 0;
  base::Tokens open_amount = 0;
  int64_t open_grants = 0;

  static BudgetSums Of(const Budget& budget);

  friend bool operator==(const BudgetSums& a, const BudgetSums& b) {
    return std::tie(a.closed_billed, a.closed_held, a.open_billed,
                    a.open_amount, a.open_grants) ==
           std::tie(b.closed_billed, b.closed_held, b.open_billed,
                    b.open_amount, b.open_grants);
  }
  friend bool operator!=(const BudgetSums& a, const BudgetSums& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_SUMS_H_
