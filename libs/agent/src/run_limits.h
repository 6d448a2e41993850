#ifndef AGENT_RUN_LIMITS_H_
#define AGENT_RUN_LIMITS_H_

#include <cstdint>
#include <limits>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::agent {

// Refusals for load name at least this.
constexpr base::Millis kMinRetryAfter = base::Seconds(1);
// Larger reservations are refused as not valid.
constexpr base::Tokens kMaxReserved = int64_t{1} << 40U;
// Lowest HTTP status of a request that was not served.
constexpr int64_t kErrorStatus = 400;
// Lowest HTTP status with which a server reports its own failure.
constexpr int64_t kServerErrorStatus = 500;

// The sum of two numbers that are not negative, or the largest number.
inline int64_t SaturatingAdd(int64_t a, int64_t b) noexcept {
  constexpr int64_t k_max = std::numeric_limits<int64_t>::max();
  return a > k_max - b ? k_max : a + b;
}

}  // namespace godwit::agent

#endif  // AGENT_RUN_LIMITS_H_
