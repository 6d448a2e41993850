#include "relay/caller_rebalancer.h"

#include <algorithm>

namespace godwit::relay {
namespace {

// Long enough to cover several answers, short enough to follow a burst.
constexpr base::Millis kWindow(1000);
constexpr double kMillisPerSecond = 1000;

}  // namespace

std::optional<CallerRebalancer::Phase> CallerRebalancer::Sample(
    base::Millis now,
    const LinkTraffic& traffic) {
  if (options_.link_rate <= 0) {
    return std::nullopt;
  }
  UpdateUtilization(now, traffic);
  const Phase next = NextPhase(now);
  if (next == phase_) {
    return std::nullopt;
  }
  phase_ = next;
  phase_began_at_ = now;
  return phase_;
}

void CallerRebalancer::UpdateUtilization(base::Millis now,
                                         const LinkTraffic& traffic) {
  samples_.emplace_back(now, traffic);
  while (samples_.size() > 2 && now - samples_[1].first >= kWindow) {
    samples_.pop_front();
  }
  const auto& [since, earlier] = samples_.front();
  const base::Millis span = now - since;
  if (span < kWindow) {
    return;
  }
  const int64_t bytes = std::max(traffic.received - earlier.received,
                                 traffic.sent - earlier.sent);
  utilization_ = static_cast<double>(bytes) * kMillisPerSecond /
                 static_cast<double>(span.count()) / options_.link_rate;
  if (utilization_ < options_.high_utilization) {
    saturated_since_.reset();
  } else if (!saturated_since_) {
    saturated_since_ = now;
  }
}

CallerRebalancer::Phase CallerRebalancer::NextPhase(base::Millis now) {
  const base::Millis in_phase = now - phase_began_at_;
  switch (phase_) {
    case Phase::kInRotation: {
      const bool is_saturated =
          saturated_since_ &&
          now - *saturated_since_ >= options_.saturation_time;
      if (!is_saturated) {
        return phase_;
      }
      rest_ = rest_ == base::Millis() || in_phase >= options_.stable_time
                  ? options_.shortest_rest
                  : std::min(rest_ * 2, options_.longest_rest);
      initial_utilization_ = utilization_;
      return Phase::kLeavingRotation;
    }
    case Phase::kLeavingRotation:
      return in_phase < options_.leave_time ? phase_
                                            : Phase::kClosingConnections;
    case Phase::kClosingConnections:
      return in_phase < options_.close_time ? phase_ : Phase::kOutOfRotation;
    case Phase::kOutOfRotation:
      return in_phase < rest_ ? phase_ : Phase::kInRotation;
  }
  return phase_;
}

double CallerRebalancer::CloseShare() const {
  return initial_utilization_ <= options_.target_utilization
             ? 0
             : 1 - options_.target_utilization / initial_utilization_;
}

}  // namespace godwit::relay
