#ifndef DISPATCH_TICK_H_
#define DISPATCH_TICK_H_

#include "base/millis.h"

namespace godwit::dispatch {

// Event: a periodic timer fired. Due every few tens of milliseconds.
struct Tick {
  // Wall clock minus the clock that steps are given.
  base::Millis clock_offset;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TICK_H_
