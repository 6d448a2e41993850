#include "gap_histogram.h"

#include <algorithm>
#include <limits>

namespace godwit::router {
namespace {

// Gaps below this have one bucket per millisecond; each doubling above it has
// kStepsPerDoubling buckets.
constexpr int64_t kExactMillis = 64;
constexpr int64_t kStepsPerDoubling = 4;
constexpr int64_t kPercent = 95;

}  // namespace

void GapHistogram::Add(base::Millis gap) noexcept {
  uint16_t& count = counts_[BucketOf(gap.count())];
  if (count < std::numeric_limits<uint16_t>::max()) {
    ++count;
  }
}

std::optional<base::Millis> GapHistogram::Percentile95() const noexcept {
  int64_t total = 0;
  for (const uint16_t count : counts_) {
    total += count;
  }
  if (total == 0) {
    return std::nullopt;
  }
  int64_t cumulative = 0;
  size_t bucket = 0;
  for (; bucket < kBuckets; ++bucket) {
    cumulative += counts_[bucket];
    if (cumulative * 100 >= total * kPercent) {
      break;
    }
  }
  return base::Millis(UpperBound(bucket));
}

size_t GapHistogram::BucketOf(int64_t millis) noexcept {
  if (millis < kExactMillis) {
    return static_cast<size_t>(std::max<int64_t>(millis, 0));
  }
  int64_t bucket = kExactMillis;
  int64_t base = kExactMillis;
  while (millis >= base * 2 &&
         bucket + kStepsPerDoubling < static_cast<int64_t>(kBuckets)) {
    base *= 2;
    bucket += kStepsPerDoubling;
  }
  const int64_t step = (millis - base) / (base / kStepsPerDoubling);
  return static_cast<size_t>(bucket + std::min(step, kStepsPerDoubling - 1));
}

int64_t GapHistogram::UpperBound(size_t bucket) noexcept {
  const auto index = static_cast<int64_t>(bucket);
  if (index < kExactMillis) {
    return index;
  }
  const int64_t doublings = (index - kExactMillis) / kStepsPerDoubling;
  const int64_t step = (index - kExactMillis) % kStepsPerDoubling;
  const int64_t base = kExactMillis << doublings;
  return base + (step + 1) * (base / kStepsPerDoubling) - 1;
}

}  // namespace godwit::router
