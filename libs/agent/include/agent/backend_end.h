#ifndef AGENT_BACKEND_END_H_
#define AGENT_BACKEND_END_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// The backend server's answer is whole. No further event of the run follows.
struct BackendEnd {
  // The run.
  base::AttemptId attempt;
  // Model pools: tokens of the prompt, as the engine counts them.
  base::Tokens prompt_tokens = 0;
  // Model pools: tokens generated, resumed ones included.
  base::Tokens completion_tokens = 0;

  friend bool operator==(const BackendEnd& a, const BackendEnd& b) {
    return std::tie(a.attempt, a.prompt_tokens, a.completion_tokens) ==
           std::tie(b.attempt, b.prompt_tokens, b.completion_tokens);
  }
  friend bool operator!=(const BackendEnd& a, const BackendEnd& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_BACKEND_END_H_
