#ifndef LEDGER_METERED_BUDGET_H_
#define LEDGER_METERED_BUDGET_H_

#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "burn_rate.h"
#include "ledger/budget_limit.h"
#include "ledger/metered_policy.h"

namespace godwit::ledger {

// What a MeteredHolder keeps of one budget.
struct MeteredBudget {
  MeteredBudget(BudgetLimit stated, const MeteredPolicy& policy)
      : limit(std::move(stated)),
        burn(policy.burn_half_life),
        usual_burn(policy.usual_half_life) {}

  BudgetLimit limit;
  // Used under the own grant since it began, and reserved beside it.
  base::Tokens spent = 0;
  base::Tokens reserved = 0;
  // Largest amount that waits for tokens; zero when none does.
  base::Tokens need = 0;
  // Size of large reservations; falls slowly.
  base::Tokens largest = 0;
  // Usual size of a request, a moving mean.
  base::Tokens usual = 0;
  BurnRate burn;
  BurnRate usual_burn;
  // When something was first used; the averages know little before.
  std::optional<base::Millis> first_use;

  // Tokens that `span` would take at the present rate.
  base::Tokens BurnOver(base::Millis now,
                        base::Millis span,
                        const MeteredPolicy& policy) const;
  // The configuration no longer states a limit.
  bool dropped = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_BUDGET_H_
