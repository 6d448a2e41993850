#ifndef AGENT_RESUME_BACKEND_H_
#define AGENT_RESUME_BACKEND_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// Command: continue reading an answer.
struct ResumeBackend {
  base::AttemptId attempt;

  friend bool operator==(const ResumeBackend& a, const ResumeBackend& b) {
    return std::tie(a.attempt) == std::tie(b.attempt);
  }
  friend bool operator!=(const ResumeBackend& a, const ResumeBackend& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_RESUME_BACKEND_H_
