#include "server_load.h"

#include <algorithm>
#include <cmath>

namespace godwit::dispatch {
namespace {

// Weight of a new load report, and of a new time to the first byte.
constexpr double kReportWeight = 0.4;
constexpr double kSlownessWeight = 0.25;
// Bounds on the ratio of a single observation.
constexpr double kMaxSlowness = 30;
constexpr double kMinSlowness = 0.2;
// Slowness decays with this half-life without observations, so that a server
// that has recovered is tried again.
constexpr base::Millis kSlownessHalfLife(2500);
constexpr int64_t kMaxDoublings = 6;

double Ratio(base::Millis a, base::Millis b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

}  // namespace

void ServerLoad::UpdateFromReport(base::Millis now, const LoadReport& load) {
  const double others = std::max<double>(
      0, static_cast<double>(load.running + load.waiting - in_flight));
  other_runs =
      reported ? other_runs + kReportWeight * (others - other_runs) : others;
  reported = true;
  reported_at = now;
}

double ServerLoad::Runs(base::Millis now, base::Millis report_lifetime) const {
  const auto own = static_cast<double>(in_flight);
  if (!reported) {
    return own;
  }
  const double age = Ratio(now - reported_at, report_lifetime);
  return own + other_runs * std::clamp(2 - age, 0.0, 1.0);
}

double ServerLoad::SlownessAt(base::Millis now) const {
  const double decay =
      std::exp2(-Ratio(now - slowness_updated_at, kSlownessHalfLife));
  return 1 + (slowness - 1) * decay;
}

void ServerLoad::ObserveSlowness(base::Millis now, double ratio) {
  const double observed = std::clamp(ratio, kMinSlowness, kMaxSlowness);
  const double before = SlownessAt(now);
  slowness = before + kSlownessWeight * (observed - before);
  slowness_updated_at = now;
}

void ServerLoad::Eject(base::Millis now,
                       base::Millis shortest,
                       base::Millis longest) {
  const int64_t doublings = std::min(ejections, kMaxDoublings);
  ejected_until = now + std::min(longest, shortest * (int64_t{1} << doublings));
  ++ejections;
  on_probation = true;
}

}  // namespace godwit::dispatch
