#ifndef LEDGER_GRANT_CLOSED_H_
#define LEDGER_GRANT_CLOSED_H_

#include "base/ids.h"

namespace godwit::ledger {

// Record: the grant of an earlier life of this process was closed.
struct GrantClosed {
  base::BudgetId budget;
  base::Incarnation holder;
  base::Tokens amount = 0;
  // Known to be used, and counted as used. The difference may be unused.
  base::Tokens billed = 0;
  base::Tokens counted = 0;
  // True when the life's promise told how much it can have used.
  bool by_promise = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_CLOSED_H_
