#ifndef DISPATCH_STORE_REACHED_H_
#define DISPATCH_STORE_REACHED_H_

namespace godwit::dispatch {

// Event: the platform's store can no longer be asked, or answers again.
struct StoreReached {
  bool reached = true;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STORE_REACHED_H_
