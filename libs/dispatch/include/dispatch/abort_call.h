#ifndef DISPATCH_ABORT_CALL_H_
#define DISPATCH_ABORT_CALL_H_

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: abort an answer that cannot be completed.
struct AbortCall {
  CallId call = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ABORT_CALL_H_
