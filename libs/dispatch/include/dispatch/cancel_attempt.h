#ifndef DISPATCH_CANCEL_ATTEMPT_H_
#define DISPATCH_CANCEL_ATTEMPT_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: drop an attempt; its server is to stop.
struct CancelAttempt {
  CallId call = 0;
  int64_t attempt = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CANCEL_ATTEMPT_H_
