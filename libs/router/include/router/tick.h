#ifndef ROUTER_TICK_H_
#define ROUTER_TICK_H_

#include "base/millis.h"

namespace godwit::router {

// Event: time has passed. Must be the first event and then recur about every 50
// ms.
struct Tick {
  // Wall-clock time in milliseconds since the Unix epoch.
  base::Millis wall;
};

}  // namespace godwit::router

#endif  // ROUTER_TICK_H_
