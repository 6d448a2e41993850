#ifndef LEDGER_TOP_UP_H_
#define LEDGER_TOP_UP_H_

#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// An increase of a budget, applied once for each operation id.
struct TopUp {
  // Tokens added; positive.
  base::Tokens amount = 0;
  // Wall-clock time of the operation.
  base::Millis at;

  friend bool operator==(const TopUp& a, const TopUp& b) {
    return std::tie(a.amount, a.at) == std::tie(b.amount, b.at);
  }
  friend bool operator!=(const TopUp& a, const TopUp& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_TOP_UP_H_
