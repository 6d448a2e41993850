#ifndef LEDGER_CLOCK_REQUEST_H_
#define LEDGER_CLOCK_REQUEST_H_

#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Asks another router for the time of its wall clock.
struct ClockRequest {
  base::Incarnation asker;
  // Time of the asker's monotonic clock.
  base::Millis asked_at;

  friend bool operator==(const ClockRequest& a, const ClockRequest& b) {
    return std::tie(a.asker, a.asked_at) == std::tie(b.asker, b.asked_at);
  }
  friend bool operator!=(const ClockRequest& a, const ClockRequest& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_CLOCK_REQUEST_H_
