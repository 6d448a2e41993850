#include "wait_estimate.h"

namespace godwit::agent {
namespace {

constexpr int64_t kMicrosPerMilli = 1000;
// The latest run contributes 1 / kWeightDivisor to the average.
constexpr int64_t kWeightDivisor = 8;

}  // namespace

void WaitEstimate::AddRunDuration(base::Millis span) noexcept {
  const int64_t micros = span.count() * kMicrosPerMilli;
  if (average_micros_ == 0) {
    average_micros_ = micros;
    return;
  }
  average_micros_ += (micros - average_micros_) / kWeightDivisor;
}

base::Millis WaitEstimate::EstimateWait(int64_t ahead,
                                        int64_t slots) const noexcept {
  return base::Millis(average_micros_ * (ahead + 1) / slots / kMicrosPerMilli);
}

}  // namespace godwit::agent
