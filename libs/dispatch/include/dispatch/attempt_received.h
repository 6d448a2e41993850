#ifndef DISPATCH_ATTEMPT_RECEIVED_H_
#define DISPATCH_ATTEMPT_RECEIVED_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Event: bytes of an answer were received that add no event to a stream.
struct AttemptReceived {
  CallId call = 0;
  int64_t attempt = 0;
  // They complete an event that the caller has received from another server:
  // the stream is catching up.
  bool repeats_event = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_RECEIVED_H_
