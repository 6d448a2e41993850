#ifndef ROUTER_DRAIN_REQUESTED_H_
#define ROUTER_DRAIN_REQUESTED_H_

namespace godwit::router {

// Event: take no new requests, finish those in progress, then hand
// everything back.
struct DrainRequested {};

}  // namespace godwit::router

#endif  // ROUTER_DRAIN_REQUESTED_H_
