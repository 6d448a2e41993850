#ifndef AGENT_BACKEND_HEAD_H_
#define AGENT_BACKEND_HEAD_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// Event: the backend server began to answer a run.
struct BackendHead {
  base::AttemptId attempt;
  // HTTP status.
  int64_t status = 0;
  std::string content_type;

  friend bool operator==(const BackendHead& a, const BackendHead& b) {
    return std::tie(a.attempt, a.status, a.content_type) ==
           std::tie(b.attempt, b.status, b.content_type);
  }
  friend bool operator!=(const BackendHead& a, const BackendHead& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_BACKEND_HEAD_H_
