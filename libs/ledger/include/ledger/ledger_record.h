#ifndef LEDGER_LEDGER_RECORD_H_
#define LEDGER_LEDGER_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "base/error.h"
#include "base/ids.h"
#include "ledger/budget.h"

namespace godwit::ledger {

// Value of one ledger key of the KV: many budgets, which change together by one
// compare-and-swap.
struct LedgerRecord {
  // Id of the write that created this version.
  base::WriteId write;
  // Era of the KV in which its budgets were last known to be complete.
  int64_t era = 0;
  // The budgets of this shard.
  std::map<base::BudgetId, Budget> budgets;

  // Returns no value if every budget satisfies
  //   billed + held + sum of grant amounts <= limit,
  //   usage of each grant <= its amount, no amount negative;
  // otherwise the first violation, of kind kCorrupt.
  std::optional<base::Error> CheckInvariant() const;

  friend bool operator==(const LedgerRecord& a, const LedgerRecord& b) {
    return std::tie(a.write, a.era, a.budgets) ==
           std::tie(b.write, b.era, b.budgets);
  }
  friend bool operator!=(const LedgerRecord& a, const LedgerRecord& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_RECORD_H_
