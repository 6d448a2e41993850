#ifndef AGENT_BACKEND_END_H_
#define AGENT_BACKEND_END_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::agent {

// Event: the backend server's answer is complete. No further event of the run
// follows.
struct BackendEnd {
  base::AttemptId attempt;
  // For model pools: tokens of the prompt, as counted by the engine.
  base::Tokens prompt_tokens = 0;
  // For model pools: tokens generated, resumed ones included.
  base::Tokens completion_tokens = 0;
  // For streams of model pools: the event that ends a stream was received.
  bool has_final_event = true;

  friend bool operator==(const BackendEnd& a, const BackendEnd& b) {
    return std::tie(a.attempt, a.prompt_tokens, a.completion_tokens,
                    a.has_final_event) == std::tie(b.attempt, b.prompt_tokens,
                                                   b.completion_tokens,
                                                   b.has_final_event);
  }
  friend bool operator!=(const BackendEnd& a, const BackendEnd& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_BACKEND_END_H_
