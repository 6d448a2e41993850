#ifndef LEDGER_SPEND_ALLOWANCE_H_
#define LEDGER_SPEND_ALLOWANCE_H_

#include <algorithm>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Upper bound of what a router has spent of a grant, which grows with time. It
// grows at the rate of use while a VM may be restarting, so that little is lost
// with it, and faster the longer only an outage of the KV lasts.
struct SpendAllowance {
  // Time at which the growth becomes faster, and again faster.
  static constexpr base::Millis kFasterAfter{2'500};
  static constexpr base::Millis kFastestAfter{5'000};

  // Tokens that may have been spent at the start.
  base::Tokens initial = 0;
  // Further tokens for each second since, at each speed.
  base::Tokens per_second = 0;
  base::Tokens faster_per_second = 0;
  base::Tokens fastest_per_second = 0;

  base::Tokens At(base::Millis elapsed) const {
    const auto within = [elapsed](base::Millis begin, base::Millis end) {
      return std::clamp(elapsed, begin, end) - begin;
    };
    return initial + Growth(per_second, within(base::Millis(0), kFasterAfter)) +
           Growth(faster_per_second, within(kFasterAfter, kFastestAfter)) +
           Growth(fastest_per_second,
                  std::max(base::Millis(0), elapsed - kFastestAfter));
  }

  friend bool operator==(const SpendAllowance& a, const SpendAllowance& b) {
    return std::tie(a.initial, a.per_second, a.faster_per_second,
                    a.fastest_per_second) == std::tie(b.initial, b.per_second,
                                                      b.faster_per_second,
                                                      b.fastest_per_second);
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
