#ifndef DISPATCH_BACKEND_SEEN_H_
#define DISPATCH_BACKEND_SEEN_H_

#include "dispatch/backend.h"

namespace godwit::dispatch {

// Event: a backend server registered or changed its registration.
struct BackendSeen {
  Backend backend;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_SEEN_H_
