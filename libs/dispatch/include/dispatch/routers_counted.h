#ifndef DISPATCH_ROUTERS_COUNTED_H_
#define DISPATCH_ROUTERS_COUNTED_H_

#include <cstddef>

namespace godwit::dispatch {

// Event: the number of routers that share budgets and retries, this one
// included.
struct RoutersCounted {
  size_t count = 1;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTERS_COUNTED_H_
