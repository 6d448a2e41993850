#include "daemon/kv_health.h"

#include <string>

#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace godwit::daemon {
namespace {

using telemetry::EventId;
using telemetry::Log;
using telemetry::MetricId;

// Consecutive failed calls after which the platform counts as unavailable; a
// single failure may be due to a rate limit.
constexpr int kFailuresUntilUnavailable = 3;
constexpr double kSecondsPerMilli = 0.001;

}  // namespace

void KvHealth::OnCall(const platform::CallCompleted& call) {
  const std::string verb(call.verb);
  metrics_.Add(MetricId::kKvCallsTotal, {verb, std::string(call.outcome)});
  if (call.verb != "watch") {
    metrics_.Observe(
        MetricId::kKvCallSeconds, {verb},
        static_cast<double>(call.duration.count()) * kSecondsPerMilli);
  }
  if (call.served()) {
    failures_ = 0;
    if (!available_) {
      available_ = true;
      Log(EventId::kKvAvailable);
    }
    return;
  }
  ++failures_;
  if (available_ && failures_ >= kFailuresUntilUnavailable) {
    available_ = false;
    Log(EventId::kKvUnavailable, {{"verb", verb}, {"outcome", call.outcome}});
  }
}

}  // namespace godwit::daemon
