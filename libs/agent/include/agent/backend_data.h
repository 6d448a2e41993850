#ifndef AGENT_BACKEND_DATA_H_
#define AGENT_BACKEND_DATA_H_

#include <string>
#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// Event: a piece of the backend server's answer was received.
struct BackendData {
  base::AttemptId attempt;
  std::string bytes;
  // For model pools: tokens that the piece carries.
  base::Tokens tokens = 0;

  friend bool operator==(const BackendData& a, const BackendData& b) {
    return std::tie(a.attempt, a.bytes, a.tokens) ==
           std::tie(b.attempt, b.bytes, b.tokens);
  }
  friend bool operator!=(const BackendData& a, const BackendData& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_BACKEND_DATA_H_
