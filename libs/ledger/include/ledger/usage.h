#ifndef LEDGER_USAGE_H_
#define LEDGER_USAGE_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Token usage of a request.
struct Usage {
  // All tokens that must not be spent again.
  base::Tokens tokens = 0;
  // Part of `tokens` that may not have been used, because it is not known
  // whether the request ran.
  base::Tokens unproven = 0;

  friend bool operator==(const Usage& a, const Usage& b) {
    return std::tie(a.tokens, a.unproven) == std::tie(b.tokens, b.unproven);
  }
  friend bool operator!=(const Usage& a, const Usage& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_USAGE_H_
