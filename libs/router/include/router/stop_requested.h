#ifndef ROUTER_STOP_REQUESTED_H_
#define ROUTER_STOP_REQUESTED_H_

#include "base/millis.h"

namespace godwit::router {

// Event: the router will end. Until DrainRequested, new requests are taken
// whose deadline is not after `ends_at`.
struct StopRequested {
  // When requests in progress are ended.
  base::Millis ends_at;
};

}  // namespace godwit::router

#endif  // ROUTER_STOP_REQUESTED_H_
