#ifndef DISPATCH_ATTEMPT_FAILED_H_
#define DISPATCH_ATTEMPT_FAILED_H_

#include <cstdint>

#include "dispatch/attempt_failure.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Event: an attempt ended without a complete answer.
struct AttemptFailed {
  CallId call = 0;
  int64_t attempt = 0;
  AttemptFailure failure = AttemptFailure::kLost;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_FAILED_H_
