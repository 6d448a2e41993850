#ifndef DISPATCH_SERVICE_PROFILE_H_
#define DISPATCH_SERVICE_PROFILE_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "base/ids.h"
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

  friend bool operator==(const ServiceProfile& a, const ServiceProfile& b) {
    return std::tie(a.id, a.max_connections, a.engine) ==
           std::tie(b.id, b.max_connections, b.engine);
  }
  friend bool operator!=(const ServiceProfile& a, const ServiceProfile& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SERVICE_PROFILE_H_
