#ifndef ROUTER_DRAINED_H_
#define ROUTER_DRAINED_H_

namespace godwit::router {

// Command: nothing is left in progress or unsettled; the process may end.
struct Drained {};

}  // namespace godwit::router

#endif  // ROUTER_DRAINED_H_
