#ifndef DISPATCH_BACKENDS_LISTED_H_
#define DISPATCH_BACKENDS_LISTED_H_

#include <vector>

#include "dispatch/backend.h"

namespace godwit::dispatch {

// Event: the registrations of all backend servers were read.
struct BackendsListed {
  std::vector<Backend> backends;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKENDS_LISTED_H_
