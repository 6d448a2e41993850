#ifndef DISPATCH_STORE_ERA_CHANGED_H_
#define DISPATCH_STORE_ERA_CHANGED_H_

#include <cstdint>

namespace godwit::dispatch {

// Event: the platform's store stated a higher era than before. Unless it is the
// first one, the store returned from an older copy: what was written to it last
// may be missing.
struct StoreEraChanged {
  int64_t era = 0;
  bool is_first = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STORE_ERA_CHANGED_H_
