#ifndef ROUTER_CALLER_ARRIVED_H_
#define ROUTER_CALLER_ARRIVED_H_

#include "router/caller_request.h"

namespace godwit::router {

// Event: a request to serve.
struct CallerArrived {
  CallerRequest request;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_ARRIVED_H_
