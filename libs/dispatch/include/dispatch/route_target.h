#ifndef DISPATCH_ROUTE_TARGET_H_
#define DISPATCH_ROUTE_TARGET_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::dispatch {

// A service that takes a share of a route's requests.
struct RouteTarget {
  base::ServiceId service;
  // Weight relative to the other targets of the route.
  int64_t weight = 1;

  friend bool operator==(const RouteTarget& a, const RouteTarget& b) {
    return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
  }
  friend bool operator!=(const RouteTarget& a, const RouteTarget& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTE_TARGET_H_
