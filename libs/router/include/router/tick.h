#ifndef ROUTER_TICK_H_
#define ROUTER_TICK_H_

namespace godwit::router {

// Event: time has passed. Sent every 50 ms or so.
struct Tick {};

}  // namespace godwit::router

#endif  // ROUTER_TICK_H_
