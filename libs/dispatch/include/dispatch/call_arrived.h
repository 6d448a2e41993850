#ifndef DISPATCH_CALL_ARRIVED_H_
#define DISPATCH_CALL_ARRIVED_H_

#include "dispatch/call_id.h"
#include "dispatch/request.h"

namespace godwit::dispatch {

// Event: a caller's request was received completely.
struct CallArrived {
  CallId call = 0;
  Request request;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_ARRIVED_H_
