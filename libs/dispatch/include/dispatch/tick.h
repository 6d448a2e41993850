#ifndef DISPATCH_TICK_H_
#define DISPATCH_TICK_H_

namespace godwit::dispatch {

// Event: time passed. Due every few tens of milliseconds.
struct Tick {};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TICK_H_
