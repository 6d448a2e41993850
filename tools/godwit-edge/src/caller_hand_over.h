#ifndef GODWIT_EDGE_CALLER_HAND_OVER_H_
#define GODWIT_EDGE_CALLER_HAND_OVER_H_

#include "base/millis.h"
#include "relay/caller_rebalancer.h"

namespace godwit::relay {
class CallerServer;
class UpstreamPool;
}  // namespace godwit::relay

namespace godwit::telemetry {
class Metrics;
}  // namespace godwit::telemetry

namespace godwit::edge {

// Carries out the decisions of a CallerRebalancer at the router's connections.
class CallerHandOver {
 public:
  // `callers` and `servers` must outlive this object.
  CallerHandOver(const relay::CallerRebalancer::Options& options,
                 relay::CallerServer& callers,
                 const relay::UpstreamPool& servers);

  // Due every few tens of milliseconds.
  void Tick(base::Millis now, telemetry::Metrics& metrics);
  // Whether a load balancer may send new connections here.
  bool in_rotation() const noexcept;

 private:
  relay::CallerRebalancer rebalancer_;
  relay::CallerServer& callers_;
  const relay::UpstreamPool& servers_;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_CALLER_HAND_OVER_H_
