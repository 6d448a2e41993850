#ifndef LEDGER_TESTS_TIMED_REQUEST_H_
#define LEDGER_TESTS_TIMED_REQUEST_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// A request of a simulation that ends by itself.
struct TimedRequest {
  // Largest possible use, which is reserved, and actual use.
  base::Tokens amount = 0;
  base::Tokens used = 0;
  // Time from the reservation to the end.
  base::Millis duration;
  // 0 is the most urgent.
  int64_t urgency = 0;
  // False if the connection is lost, so that all of `amount` may be used.
  bool is_proven = true;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_TIMED_REQUEST_H_
