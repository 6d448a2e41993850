#ifndef ROUTER_DRAINED_H_
#define ROUTER_DRAINED_H_

namespace godwit::router {

// Command: no request is in progress or unsettled; the process may exit.
struct Drained {};

}  // namespace godwit::router

#endif  // ROUTER_DRAINED_H_
