#include "agent_load.h"

#include <algorithm>

namespace godwit::routing {

namespace {

// Weight of the newest report in the moving mean.
constexpr double kNewestReportWeight = 0.3;
// Share of the full load at the start of a ramp-up.
constexpr double kInitialRampUpShare = 0.1;
constexpr int64_t kMaxDoublings = 20;

}  // namespace

void AgentLoad::Eject(base::Millis now,
                      base::Millis shortest,
                      base::Millis longest) {
  const int64_t doublings = std::min(ejections, kMaxDoublings);
  ejected_until =
      now + std::min(longest, base::Millis(shortest.count() << doublings));
  ++ejections;
  awaiting_readmission = true;
  consecutive_failures = 0;
}

void AgentLoad::ReadmitWhenDue(base::Millis now, double typical_ms_per_token) {
  if (!awaiting_readmission || now < ejected_until) {
    return;
  }
  awaiting_readmission = false;
  ramping_up = true;
  samples = 0;
  ms_per_token = typical_ms_per_token;
}

void AgentLoad::EndRampUp() {
  ramping_up = false;
  ejections = 0;
}

double AgentLoad::RampUpShare(base::Millis now, base::Millis span) const {
  if (!ramping_up) {
    return 1;
  }
  const auto since = static_cast<double>((now - ejected_until).count());
  return std::clamp(since / static_cast<double>(span.count()),
                    kInitialRampUpShare, 1.0);
}

double AgentLoad::PendingAhead(int64_t priority) const {
  double sum = 0;
  for (auto it = pending.lower_bound(priority); it != pending.end(); ++it) {
    sum += it->second;
  }
  return sum;
}

double AgentLoad::PendingTotal() const {
  double sum = 0;
  for (const auto& [priority, work] : pending) {
    sum += work;
  }
  return sum;
}

void AgentLoad::UpdateFromReport(base::Millis now, int64_t runs) {
  const auto others =
      static_cast<double>(std::max<int64_t>(0, runs - in_flight));
  other_runs = reported
                   ? other_runs + kNewestReportWeight * (others - other_runs)
                   : others;
  reported = true;
  reported_at = now;
}

double AgentLoad::Runs(base::Millis now, base::Millis lifetime) const {
  const auto own = static_cast<double>(in_flight);
  const bool counts = reported && now - reported_at < lifetime;
  return counts ? own + other_runs : own;
}

}  // namespace godwit::routing
