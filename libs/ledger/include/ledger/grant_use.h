#ifndef LEDGER_GRANT_USE_H_
#define LEDGER_GRANT_USE_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// What a router uses its grant of a budget for, in tokens.
struct GrantUse {
  // Used under the grant, by this router or by borrowers that reported it.
  base::Tokens spent = 0;
  // Reserved for requests in progress.
  base::Tokens reserved = 0;
  // Lent, and neither reported as used nor returned.
  base::Tokens lent = 0;

  base::Tokens Sum() const noexcept { return spent + reserved + lent; }

  friend bool operator==(const GrantUse& a, const GrantUse& b) {
    return std::tie(a.spent, a.reserved, a.lent) ==
           std::tie(b.spent, b.reserved, b.lent);
  }
  friend bool operator!=(const GrantUse& a, const GrantUse& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_USE_H_
