#ifndef DISPATCH_CANCEL_ATTEMPT_H_
#define DISPATCH_CANCEL_ATTEMPT_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: cancel an attempt and stop it at its server.
struct CancelAttempt {
  CallId call = 0;
  int64_t attempt = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CANCEL_ATTEMPT_H_
