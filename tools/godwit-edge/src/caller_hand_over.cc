#include "caller_hand_over.h"

#include <cstddef>

#include "relay/caller_server.h"
#include "relay/upstream_pool.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metric_id.h"
#include "telemetry/metrics.h"

namespace godwit::edge {

using Phase = relay::CallerRebalancer::Phase;

CallerHandOver::CallerHandOver(const relay::CallerRebalancer::Options& options,
                               relay::CallerServer& callers,
                               const relay::UpstreamPool& servers)
    : rebalancer_(options), callers_(callers), servers_(servers) {}

bool CallerHandOver::in_rotation() const noexcept {
  return rebalancer_.phase() == Phase::kInRotation;
}

void CallerHandOver::Tick(base::Millis now, telemetry::Metrics& metrics) {
  const auto phase =
      rebalancer_.Sample(now, callers_.traffic() + servers_.traffic());
  metrics.Set(telemetry::MetricId::kLinkUtilization, {},
              rebalancer_.utilization());
  if (!phase) {
    return;
  }
  const double share =
      *phase == Phase::kClosingConnections ? rebalancer_.CloseShare() : 0;
  const auto to_close =
      static_cast<size_t>(share * static_cast<double>(callers_.connections()));
  callers_.CloseAfterAnswers(to_close);
  metrics.Add(telemetry::MetricId::kConnectionsHandedOverTotal, {},
              static_cast<double>(to_close));
  if (*phase == Phase::kLeavingRotation ||
      *phase == Phase::kClosingConnections) {
    telemetry::Log(telemetry::EventId::kCallersHandedOver,
                   {{"utilization", rebalancer_.utilization()},
                    {"connections", callers_.connections()},
                    {"to_close", to_close}});
  }
}

}  // namespace godwit::edge
