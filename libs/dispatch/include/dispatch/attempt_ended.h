#ifndef DISPATCH_ATTEMPT_ENDED_H_
#define DISPATCH_ATTEMPT_ENDED_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Event: a relayed answer is complete.
struct AttemptEnded {
  CallId call = 0;
  int64_t attempt = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_ENDED_H_
