#ifndef RELAY_CALLER_REBALANCER_H_
#define RELAY_CALLER_REBALANCER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "base/millis.h"
#include "relay/link_traffic.h"

namespace godwit::relay {

// Decides when a router hands callers over to the other routers of its data
// centre. Handles callers that a load balancer's hash distributes unevenly over
// VMs with links of different bandwidth: while the link of one VM is saturated,
// each answer that it relays is late, although the others have capacity. The
// router leaves the load balancer's rotation for a while and closes part of its
// connections after their answers, so that these callers connect elsewhere. No
// I/O. Not thread-safe.
class CallerRebalancer {
 public:
  enum class Phase : uint8_t {
    kInRotation,
    // Not ready; the load balancer may not have noticed yet.
    kLeavingRotation,
    // Connections are closed after their answers.
    kClosingConnections,
    // Stays out of rotation, since the callers would return with their next
    // connections.
    kOutOfRotation,
  };

  struct Options {
    // Bandwidth of the VM's link in bytes a second, in each direction; 0 if
    // unknown, in which case callers stay.
    double link_rate = 0;
    // Utilization of the link from which on callers are handed over, once it
    // has lasted for `saturation_time`, and the one to reduce it to.
    double high_utilization = 0.45;
    double target_utilization = 0.25;
    base::Millis saturation_time{700};
    // Time until a load balancer that probes readiness every second and
    // tolerates one failed probe sends no new connections.
    base::Millis leave_time{2200};
    // Time in which connections are closed and their callers connect
    // elsewhere.
    base::Millis close_time{1500};
    // Time out of rotation after that, which doubles if the link is saturated
    // again within `stable_time` of the return.
    base::Millis shortest_rest{2000};
    base::Millis longest_rest{30'000};
    base::Millis stable_time{10'000};
  };

  explicit CallerRebalancer(const Options& options) : options_(options) {}

  // Records the bytes received and sent by the process so far. Due every few
  // tens of milliseconds. Returns the new phase if it changed.
  std::optional<Phase> Sample(base::Millis now, const LinkTraffic& traffic);

  Phase phase() const noexcept { return phase_; }
  // Share of the link in use, the busier direction, over the last second.
  double utilization() const noexcept { return utilization_; }
  // Share of the connections to close in phase kClosingConnections.
  double CloseShare() const;

 private:
  void UpdateUtilization(base::Millis now, const LinkTraffic& traffic);
  Phase NextPhase(base::Millis now);

  const Options options_;
  Phase phase_ = Phase::kInRotation;
  base::Millis phase_began_at_;
  double utilization_ = 0;
  // Utilization when the hand-over began.
  double initial_utilization_ = 0;
  // Since when the link has been saturated.
  std::optional<base::Millis> saturated_since_;
  base::Millis rest_;
  // Samples of the last second, oldest first.
  std::deque<std::pair<base::Millis, LinkTraffic>> samples_;
};

}  // namespace godwit::relay

#endif  // RELAY_CALLER_REBALANCER_H_
