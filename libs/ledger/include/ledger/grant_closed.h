#ifndef LEDGER_GRANT_CLOSED_H_
#define LEDGER_GRANT_CLOSED_H_

#include "base/ids.h"

namespace godwit::ledger {

// Record: the grant of an earlier incarnation of this process was closed.
struct GrantClosed {
  base::BudgetId budget;
  base::Incarnation holder;
  base::Tokens amount = 0;
  // Tokens known to be used, and tokens counted as used. The difference may be
  // unused.
  base::Tokens billed = 0;
  base::Tokens counted = 0;
  // True if the incarnation's promise bounded its usage.
  bool by_promise = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_CLOSED_H_
