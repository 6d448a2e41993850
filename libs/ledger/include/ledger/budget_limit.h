#ifndef LEDGER_BUDGET_LIMIT_H_
#define LEDGER_BUDGET_LIMIT_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// A budget whose limit the operator's configuration states.
struct BudgetLimit {
  base::BudgetId budget;
  base::OrganisationId organisation;
  base::Tokens limit = 0;

  friend bool operator==(const BudgetLimit& a, const BudgetLimit& b) {
    return std::tie(a.budget, a.organisation, a.limit) ==
           std::tie(b.budget, b.organisation, b.limit);
  }
  friend bool operator!=(const BudgetLimit& a, const BudgetLimit& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_LIMIT_H_
