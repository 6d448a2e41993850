#ifndef AGENT_PAUSE_BACKEND_H_
#define AGENT_PAUSE_BACKEND_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// Command: stop reading an answer until ResumeBackend.
struct PauseBackend {
  base::AttemptId attempt;

  friend bool operator==(const PauseBackend& a, const PauseBackend& b) {
    return std::tie(a.attempt) == std::tie(b.attempt);
  }
  friend bool operator!=(const PauseBackend& a, const PauseBackend& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_PAUSE_BACKEND_H_
