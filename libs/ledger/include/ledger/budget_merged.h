#ifndef LEDGER_BUDGET_MERGED_H_
#define LEDGER_BUDGET_MERGED_H_

#include <cstdint>

#include "base/ids.h"
#include "ledger/budget_sums.h"

namespace godwit::ledger {

// Record: after a return of the KV, what this router knew of a budget was
// merged into the stored record.
struct BudgetMerged {
  base::BudgetId budget;
  // Era of the KV that the record was stored in.
  int64_t era = 0;
  BudgetSums stored;
  BudgetSums known;
  BudgetSums merged;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MERGED_H_
