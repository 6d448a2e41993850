#ifndef ROUTER_DRAIN_REQUESTED_H_
#define ROUTER_DRAIN_REQUESTED_H_

namespace godwit::router {

// Event: refuse new requests, finish those in progress, then return all grants.
struct DrainRequested {};

}  // namespace godwit::router

#endif  // ROUTER_DRAIN_REQUESTED_H_
