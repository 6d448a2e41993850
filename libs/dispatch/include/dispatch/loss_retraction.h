#ifndef DISPATCH_LOSS_RETRACTION_H_
#define DISPATCH_LOSS_RETRACTION_H_

#include <string>

namespace godwit::dispatch {

// Notifies another router that a backend server to which connections were lost
// has not crashed: it has answered since.
struct LossRetraction {
  // Backend::key() of the server.
  std::string backend;

  friend bool operator==(const LossRetraction& a, const LossRetraction& b) {
    return a.backend == b.backend;
  }
  friend bool operator!=(const LossRetraction& a, const LossRetraction& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_LOSS_RETRACTION_H_
