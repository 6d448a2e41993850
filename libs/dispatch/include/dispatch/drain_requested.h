#ifndef DISPATCH_DRAIN_REQUESTED_H_
#define DISPATCH_DRAIN_REQUESTED_H_

namespace godwit::dispatch {

// Event: refuse new requests and return budgets.
struct DrainRequested {};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DRAIN_REQUESTED_H_
