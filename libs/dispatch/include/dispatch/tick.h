#ifndef DISPATCH_TICK_H_
#define DISPATCH_TICK_H_

#include "base/millis.h"

namespace godwit::dispatch {

// Event: time passed. Due every few tens of milliseconds.
struct Tick {
  // Wall clock less the clock of the step.
  base::Millis clock_offset;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TICK_H_
