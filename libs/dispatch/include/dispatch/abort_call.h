#ifndef DISPATCH_ABORT_CALL_H_
#define DISPATCH_ABORT_CALL_H_

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: break off an answer that can't be finished.
struct AbortCall {
  CallId call = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ABORT_CALL_H_
