#ifndef ROUTER_LEASES_LISTED_H_
#define ROUTER_LEASES_LISTED_H_

#include <set>

#include "base/ids.h"

namespace godwit::router {

// Event: the incarnations that hold a live lease were read from the KV.
struct LeasesListed {
  std::set<base::Incarnation> routers;
  std::set<base::Incarnation> agents;
};

}  // namespace godwit::router

#endif  // ROUTER_LEASES_LISTED_H_
