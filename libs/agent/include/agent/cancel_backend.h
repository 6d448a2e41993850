#ifndef AGENT_CANCEL_BACKEND_H_
#define AGENT_CANCEL_BACKEND_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// Command: cancel a call. BackendFailed or BackendEnd still follows.
struct CancelBackend {
  base::AttemptId attempt;

  friend bool operator==(const CancelBackend& a, const CancelBackend& b) {
    return std::tie(a.attempt) == std::tie(b.attempt);
  }
  friend bool operator!=(const CancelBackend& a, const CancelBackend& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_CANCEL_BACKEND_H_
