#ifndef DISPATCH_CALLER_DISCONNECTED_H_
#define DISPATCH_CALLER_DISCONNECTED_H_

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Event: a caller disconnected before the end of its answer.
struct CallerDisconnected {
  CallId call = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALLER_DISCONNECTED_H_
