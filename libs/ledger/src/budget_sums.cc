#include "ledger/budget_sums.h"

#include "ledger/budget.h"

namespace godwit::ledger {

BudgetSums BudgetSums::Of(const Budget& budget) {
  BudgetSums sums;
  sums.closed_billed = budget.billed;
  sums.closed_held = budget.held;
  for (const auto& [id, grant] : budget.grants) {
    if (grant.closure != GrantClosure::kNone) {
      sums.closed_billed += grant.billed();
      sums.closed_held += grant.amount - grant.billed();
      continue;
    }
    sums.open_billed += grant.billed();
    sums.open_amount += grant.amount;
    ++sums.open_grants;
  }
  return sums;
}

}  // namespace godwit::ledger
