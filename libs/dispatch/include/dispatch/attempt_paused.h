#ifndef DISPATCH_ATTEMPT_PAUSED_H_
#define DISPATCH_ATTEMPT_PAUSED_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Event: the answer is not read for a while, since its caller reads it slowly,
// or is read again.
struct AttemptPaused {
  CallId call = 0;
  int64_t attempt = 0;
  bool is_paused = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_PAUSED_H_
