#ifndef DISPATCH_DRAIN_REQUESTED_H_
#define DISPATCH_DRAIN_REQUESTED_H_

#include "base/millis.h"

namespace godwit::dispatch {

// Event: return budgets, and refuse new requests that need one or may not have
// ended before `ends_at`.
struct DrainRequested {
  base::Millis ends_at;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DRAIN_REQUESTED_H_
