#ifndef DISPATCH_STORE_AVAILABILITY_CHANGED_H_
#define DISPATCH_STORE_AVAILABILITY_CHANGED_H_

namespace godwit::dispatch {

// Event: the platform's store became unavailable, or available again.
struct StoreAvailabilityChanged {
  bool available = true;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STORE_AVAILABILITY_CHANGED_H_
