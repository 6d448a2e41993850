#ifndef AGENT_CALL_BACKEND_H_
#define AGENT_CALL_BACKEND_H_

#include <tuple>

#include "base/ids.h"
#include "link/start_run.h"

namespace godwit::agent {

// Command: call the backend server, once.
struct CallBackend {
  base::AttemptId attempt;
  link::StartRun start;

  friend bool operator==(const CallBackend& a, const CallBackend& b) {
    return std::tie(a.attempt, a.start) == std::tie(b.attempt, b.start);
  }
  friend bool operator!=(const CallBackend& a, const CallBackend& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_CALL_BACKEND_H_
