#ifndef ROUTER_SRC_GAP_HISTOGRAM_H_
#define ROUTER_SRC_GAP_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/millis.h"

namespace godwit::router {

// Histogram of durations in 256 bytes: exact below 64 ms, within a quarter of
// the value up to 17 minutes.
class GapHistogram {
 public:
  // Adds a duration; a negative one counts as zero.
  void Add(base::Millis gap) noexcept;
  // Upper bound of the 95th percentile; empty when nothing was added.
  std::optional<base::Millis> Percentile95() const noexcept;

 private:
  static constexpr size_t kBuckets = 128;

  static size_t BucketOf(int64_t millis) noexcept;
  static int64_t UpperBound(size_t bucket) noexcept;

  // Counters saturate instead of overflowing.
  std::array<uint16_t, kBuckets> counts_{};
};

}  // namespace godwit::router

#endif  // ROUTER_SRC_GAP_HISTOGRAM_H_
