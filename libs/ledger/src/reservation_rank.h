#ifndef LEDGER_RESERVATION_RANK_H_
#define LEDGER_RESERVATION_RANK_H_

#include <cstdint>
#include <tuple>

#include "base/millis.h"

namespace godwit::ledger {

// Order in which requests that wait for tokens of a scarce budget are served:
// the most urgent first, and the oldest first among equals.
struct ReservationRank {
  // 0 is the most urgent.
  int64_t urgency = 0;
  // When the request began to wait.
  base::Millis since;

  friend bool operator==(const ReservationRank& a, const ReservationRank& b) {
    return std::tie(a.urgency, a.since) == std::tie(b.urgency, b.since);
  }
  friend bool operator!=(const ReservationRank& a, const ReservationRank& b) {
    return !(a == b);
  }
  friend bool operator<(const ReservationRank& a, const ReservationRank& b) {
    return std::tie(a.urgency, a.since) < std::tie(b.urgency, b.since);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RESERVATION_RANK_H_
