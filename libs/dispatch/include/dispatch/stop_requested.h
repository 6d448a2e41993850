#ifndef DISPATCH_STOP_REQUESTED_H_
#define DISPATCH_STOP_REQUESTED_H_

#include "base/millis.h"

namespace godwit::dispatch {

// Event: the router will end. New requests are served until DrainRequested, but
// none is sent to a server that is not expected to answer it by `ends_at`.
struct StopRequested {
  // When requests in progress are ended.
  base::Millis ends_at;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STOP_REQUESTED_H_
