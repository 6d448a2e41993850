#ifndef ROUTER_SRC_GAP_HISTOGRAM_H_
#define ROUTER_SRC_GAP_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/millis.h"

namespace godwit::router {

// Counts spans of time in 256 bytes: exact below 64 ms, within a quarter of
// the value up to 17 minutes.
class GapHistogram {
 public:
  // Counts a gap; a negative one counts as zero.
  void Add(base::Millis gap) noexcept;
  // Upper bound of the gap that 95% of those counted keep; empty for none.
  std::optional<base::Millis> Percentile95() const noexcept;

 private:
  static constexpr size_t kBuckets = 128;

  static size_t BucketOf(int64_t millis) noexcept;
  static int64_t UpperBound(size_t bucket) noexcept;

  // A full bucket stays full.
  std::array<uint16_t, kBuckets> counts_{};
};

}  // namespace godwit::router

#endif  // ROUTER_SRC_GAP_HISTOGRAM_H_
