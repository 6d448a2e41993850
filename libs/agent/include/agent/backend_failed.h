#ifndef AGENT_BACKEND_FAILED_H_
#define AGENT_BACKEND_FAILED_H_

#include <string>
#include <tuple>

#include "base/error_kind.h"
#include "base/ids.h"

namespace godwit::agent {

// Event: the call to the backend server ended without a complete answer, or was
// cancelled. No further event of the run follows.
struct BackendFailed {
  base::AttemptId attempt;
  // False only if the backend server certainly did not execute the call.
  bool sent = true;
  base::ErrorKind kind = base::ErrorKind::kNone;
  std::string message;

  friend bool operator==(const BackendFailed& a, const BackendFailed& b) {
    return std::tie(a.attempt, a.sent, a.kind, a.message) ==
           std::tie(b.attempt, b.sent, b.kind, b.message);
  }
  friend bool operator!=(const BackendFailed& a, const BackendFailed& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_BACKEND_FAILED_H_
