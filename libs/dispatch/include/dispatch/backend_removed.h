#ifndef DISPATCH_BACKEND_REMOVED_H_
#define DISPATCH_BACKEND_REMOVED_H_

#include <string>

namespace godwit::dispatch {

// Event: the registration of a backend server was removed.
struct BackendRemoved {
  std::string instance;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_REMOVED_H_
