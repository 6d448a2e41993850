#ifndef LEDGER_COUNTED_TOKENS_H_
#define LEDGER_COUNTED_TOKENS_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// What a closed grant counts as used, by the reason for which it counts.
struct CountedTokens {
  // Known to be used.
  base::Tokens used = 0;
  // Reserved for requests in progress, and lent, when the promise was written.
  base::Tokens reserved = 0;
  base::Tokens lent = 0;
  // Allowed by the promise in advance, and by its growth since.
  base::Tokens advance = 0;
  base::Tokens growth = 0;
  // Nothing bounds what was used of the rest of the grant.
  base::Tokens unbounded = 0;

  base::Tokens Sum() const noexcept {
    return used + reserved + lent + advance + growth + unbounded;
  }

  friend bool operator==(const CountedTokens& a, const CountedTokens& b) {
    return std::tie(a.used, a.reserved, a.lent, a.advance, a.growth,
                    a.unbounded) == std::tie(b.used, b.reserved, b.lent,
                                             b.advance, b.growth, b.unbounded);
  }
  friend bool operator!=(const CountedTokens& a, const CountedTokens& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_COUNTED_TOKENS_H_
