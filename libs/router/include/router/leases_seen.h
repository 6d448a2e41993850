#ifndef ROUTER_LEASES_SEEN_H_
#define ROUTER_LEASES_SEEN_H_

#include <set>

#include "base/ids.h"

namespace godwit::router {

// Event: the lives with a live lease were read from the KV.
struct LeasesSeen {
  std::set<base::Incarnation> routers;
  std::set<base::Incarnation> agents;
};

}  // namespace godwit::router

#endif  // ROUTER_LEASES_SEEN_H_
