#ifndef DISPATCH_LOSS_NOTICE_H_
#define DISPATCH_LOSS_NOTICE_H_

#include <string>
#include <tuple>
#include <vector>

#include "base/millis.h"
#include "dispatch/loss_suspect.h"

namespace godwit::dispatch {

// Notifies another router that connections to a backend server were lost, and
// of the contents of the requests that it had not answered. Without suspects,
// it confirms that the server has crashed.
struct LossNotice {
  // Backend::key() of the server.
  std::string backend;
  // Time since the loss.
  base::Millis age;
  // All of the server's service.
  std::vector<LossSuspect> suspects;
  // The server may live on: the loss counts only if it is not heard of in time.
  bool is_unconfirmed = false;

  friend bool operator==(const LossNotice& a, const LossNotice& b) {
    return std::tie(a.backend, a.age, a.suspects, a.is_unconfirmed) ==
           std::tie(b.backend, b.age, b.suspects, b.is_unconfirmed);
  }
  friend bool operator!=(const LossNotice& a, const LossNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_LOSS_NOTICE_H_
