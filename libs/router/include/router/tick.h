#ifndef ROUTER_TICK_H_
#define ROUTER_TICK_H_

#include "base/millis.h"

namespace godwit::router {

// Event: time has passed. The first event, then every 50 ms or so.
struct Tick {
  // Wall time, in milliseconds since the Unix epoch.
  base::Millis wall;
};

}  // namespace godwit::router

#endif  // ROUTER_TICK_H_
