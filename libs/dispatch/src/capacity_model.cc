#include "capacity_model.h"

#include <algorithm>

namespace godwit::dispatch {
namespace {

// Time after which a statement of the server has no effect: other work on its
// machine takes about 600 ms at a time.
constexpr double kWorkTimeLifetimeMs = 1'000;
constexpr double kPercent = 100;
constexpr double kTokensPerUnit = 1'000;
// Share of the past that each observation leaves: about the last hundred count,
// so that the errors of single ones cancel out.
constexpr double kRetainedShare = 0.99;
// Number of observations that the initial coefficients count as, and the
// thousands of tokens that they are taken to be observed with. They count for
// less with each observation, but never for nothing: prompts of one length
// alone don't determine both coefficients.
constexpr double kInitialWeight = 2;
constexpr double kMinInitialWeight = 0.5;
constexpr double kInitialUnits = 2;
// Upper bound on the ratio of one observation to the prediction, in either
// direction.
constexpr double kMaxStep = 3;
constexpr double kEventWeight = 0.05;
// Least coefficients, so that predictions stay positive.
constexpr double kMinFixedMs = 1;
constexpr double kMinPrefillMsPerToken = 0.0005;
constexpr double kMinEventMs = 0.1;

}  // namespace

CapacityModel::CapacityModel(const CapacityCoefficients& initial)
    : initial_(initial), coefficients_(initial) {}

void CapacityModel::UpdateWorkTime(base::Millis now, int64_t percent) {
  stated_at_ = now;
  stated_factor_ = static_cast<double>(percent) / kPercent;
}

double CapacityModel::WorkTimeFactor(base::Millis at) const {
  const auto age = static_cast<double>((at - stated_at_).count());
  const double share = std::clamp(1 - age / kWorkTimeLifetimeMs, 0.0, 1.0);
  return 1 + (stated_factor_ - 1) * share;
}

double CapacityModel::FirstByteMs(base::Millis now, double tokens_ahead) const {
  const double usual = coefficients_.fixed_ms +
                       coefficients_.prefill_ms_per_token * tokens_ahead;
  // The factor in the middle of the expected time applies to all of it.
  const auto middle = base::Millis(static_cast<int64_t>(usual / 2));
  return usual * WorkTimeFactor(now + middle);
}

double CapacityModel::EventMs(base::Millis now) const {
  return coefficients_.event_ms * WorkTimeFactor(now);
}

void CapacityModel::ObserveFirstByte(double took_ms,
                                     double tokens_ahead,
                                     double work_time_factor,
                                     double confidence) {
  const double predicted = coefficients_.fixed_ms +
                           coefficients_.prefill_ms_per_token * tokens_ahead;
  const double time = std::clamp(took_ms / work_time_factor,
                                 predicted / kMaxStep, predicted * kMaxStep);
  const double units = tokens_ahead / kTokensPerUnit;
  weight_ = kRetainedShare * weight_ + confidence;
  tokens_ = kRetainedShare * tokens_ + confidence * units;
  tokens_squared_ =
      kRetainedShare * tokens_squared_ + confidence * units * units;
  time_ = kRetainedShare * time_ + confidence * time;
  tokens_time_ = kRetainedShare * tokens_time_ + confidence * units * time;
  Solve();
}

// Least squares, with the initial coefficients as further observations.
void CapacityModel::Solve() {
  const double initial_weight =
      std::max(kMinInitialWeight, kInitialWeight / (1 + weight_));
  const double initial_units_squared =
      initial_weight * kInitialUnits * kInitialUnits;
  const double a = weight_ + initial_weight;
  const double b = tokens_;
  const double c = tokens_squared_ + initial_units_squared;
  const double v = time_ + initial_weight * initial_.fixed_ms;
  const double w = tokens_time_ + initial_units_squared * kTokensPerUnit *
                                      initial_.prefill_ms_per_token;
  // Positive, since the initial weights are.
  const double determinant = a * c - b * b;
  coefficients_.fixed_ms = std::max(kMinFixedMs, (v * c - w * b) / determinant);
  coefficients_.prefill_ms_per_token = std::max(
      kMinPrefillMsPerToken, (w * a - v * b) / determinant / kTokensPerUnit);
}

void CapacityModel::ObserveEvents(base::Millis now,
                                  double took_ms,
                                  int64_t events) {
  const double observed = std::max(
      kMinEventMs, took_ms / static_cast<double>(events) / WorkTimeFactor(now));
  const double step =
      std::clamp(observed / coefficients_.event_ms, 1 / kMaxStep, kMaxStep);
  coefficients_.event_ms *= 1 + kEventWeight * (step - 1);
}

}  // namespace godwit::dispatch
