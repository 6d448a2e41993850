#ifndef DISPATCH_BACKEND_REGISTERED_H_
#define DISPATCH_BACKEND_REGISTERED_H_

#include "dispatch/backend.h"

namespace godwit::dispatch {

// Event: a backend server registered or changed its registration.
struct BackendRegistered {
  Backend backend;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_REGISTERED_H_
