#ifndef AGENT_RUN_LIMITS_H_
#define AGENT_RUN_LIMITS_H_

#include <cstdint>
#include <limits>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::agent {

// Minimum retry delay of refusals for load.
constexpr base::Millis kMinRetryAfter = base::Seconds(1);
// Reservations above this limit are refused as invalid.
constexpr base::Tokens kMaxReserved = int64_t{1} << 40U;
// Lowest HTTP status of a request that was not served.
constexpr int64_t kErrorStatus = 400;
// Lowest HTTP status with which a server reports its own failure.
constexpr int64_t kServerErrorStatus = 500;

// Returns the sum of two non-negative numbers, saturated at the largest
// int64_t.
inline int64_t SaturatingAdd(int64_t a, int64_t b) noexcept {
  constexpr int64_t k_max = std::numeric_limits<int64_t>::max();
  return a > k_max - b ? k_max : a + b;
}

}  // namespace godwit::agent

#endif  // AGENT_RUN_LIMITS_H_
