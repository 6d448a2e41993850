#ifndef LEDGER_SPEND_ALLOWANCE_H_
#define LEDGER_SPEND_ALLOWANCE_H_

#include <algorithm>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Upper bound of what a router has spent of a grant, which grows with time. It
// grows slowly at first, so that little may have been used when a VM restarts,
// and faster later, which only an outage of the KV lasts for.
struct SpendAllowance {
  // Duration of the slow growth.
  static constexpr base::Millis kSlowSpan{5'000};

  // Tokens that may have been spent at the start.
  base::Tokens initial = 0;
  // Further tokens for each second since, and for each second after the slow
  // growth.
  base::Tokens per_second = 0;
  base::Tokens later_per_second = 0;

  base::Tokens At(base::Millis elapsed) const {
    const base::Millis slow = std::clamp(elapsed, base::Millis(0), kSlowSpan);
    const base::Millis fast = std::max(base::Millis(0), elapsed - kSlowSpan);
    return initial + Growth(per_second, slow) + Growth(later_per_second, fast);
  }

  friend bool operator==(const SpendAllowance& a, const SpendAllowance& b) {
    return std::tie(a.initial, a.per_second, a.later_per_second) ==
           std::tie(b.initial, b.per_second, b.later_per_second);
  }
  friend bool operator!=(const SpendAllowance& a, const SpendAllowance& b) {
    return !(a == b);
  }

 private:
  // In floating point, since the product may exceed the range of integers.
  static base::Tokens Growth(base::Tokens per_second, base::Millis span) {
    constexpr double k_millis_per_second = 1000;
    return static_cast<base::Tokens>(static_cast<double>(per_second) *
                                     static_cast<double>(span.count()) /
                                     k_millis_per_second);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_SPEND_ALLOWANCE_H_
