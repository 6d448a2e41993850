#ifndef ROUTER_DRAIN_TIMED_OUT_H_
#define ROUTER_DRAIN_TIMED_OUT_H_

namespace godwit::router {

// Event: the router ends now; answer the callers of requests in progress.
struct DrainTimedOut {};

}  // namespace godwit::router

#endif  // ROUTER_DRAIN_TIMED_OUT_H_
