#ifndef DISPATCH_CALLER_LIMITS_H_
#define DISPATCH_CALLER_LIMITS_H_

#include <cstdint>
#include <tuple>

#include "base/millis.h"

namespace godwit::dispatch {

// Limits on the size and duration of callers' requests.
struct CallerLimits {
  int64_t header_bytes = 16384;
  int64_t body_bytes = int64_t{8} * 1024 * 1024;
  // Longest time from the first byte of a request to its last.
  base::Millis request_timeout{10000};
  // Longest time between two requests on one connection.
  base::Millis keep_alive_timeout{15000};

  friend bool operator==(const CallerLimits& a, const CallerLimits& b) {
    return std::tie(a.header_bytes, a.body_bytes, a.request_timeout,
                    a.keep_alive_timeout) ==
           std::tie(b.header_bytes, b.body_bytes, b.request_timeout,
                    b.keep_alive_timeout);
  }
  friend bool operator!=(const CallerLimits& a, const CallerLimits& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALLER_LIMITS_H_
