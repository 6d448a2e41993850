#ifndef DISPATCH_SERVICE_PROFILE_H_
#define DISPATCH_SERVICE_PROFILE_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/engine_profile.h"

namespace godwit::dispatch {

// A service as the operator describes it.
struct ServiceProfile {
  base::ServiceId id;
  // Connections that each of its backend servers accepts from all routers; 0
  // when not stated.
  int64_t max_connections = 0;
  // Empty for plain services.
  std::optional<EngineProfile> engine;
  // Time for which a server is cold after its start; zero if the service has no
  // cold starts.
  base::Millis cold_start;
  // Requests a second that a cold server accepts from all routers together.
  double cold_rate = 1;

  friend bool operator==(const ServiceProfile& a, const ServiceProfile& b) {
    return std::tie(a.id, a.max_connections, a.engine, a.cold_start,
                    a.cold_rate) == std::tie(b.id, b.max_connections, b.engine,
                                             b.cold_start, b.cold_rate);
  }
  friend bool operator!=(const ServiceProfile& a, const ServiceProfile& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SERVICE_PROFILE_H_
