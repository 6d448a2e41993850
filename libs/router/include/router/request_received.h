#ifndef ROUTER_REQUEST_RECEIVED_H_
#define ROUTER_REQUEST_RECEIVED_H_

#include "router/caller_request.h"

namespace godwit::router {

// Event: a caller sent a request.
struct RequestReceived {
  CallerRequest request;
};

}  // namespace godwit::router

#endif  // ROUTER_REQUEST_RECEIVED_H_
