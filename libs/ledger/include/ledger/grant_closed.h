#ifndef LEDGER_GRANT_CLOSED_H_
#define LEDGER_GRANT_CLOSED_H_

#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/counted_tokens.h"

namespace godwit::ledger {

// Record: the grant of an earlier incarnation of this process was closed.
struct GrantClosed {
  base::BudgetId budget;
  base::Incarnation holder;
  base::Tokens amount = 0;
  // Tokens of the grant that the ledger knew to be used.
  base::Tokens billed = 0;
  // Tokens that count as used; the rest is free.
  CountedTokens counted;
  // How long the holder can have lived after the promise that bounded its
  // usage; empty if none did.
  std::optional<base::Millis> lifetime;
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_CLOSED_H_
