#ifndef AGENT_ENGINE_ANSWER_H_
#define AGENT_ENGINE_ANSWER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "link/start_run.h"

namespace godwit::agent {

// Reads the answer of a model engine as it arrives: cuts a stream of
// server-sent events into whole events, counts the tokens that they carry and
// finds the usage. Text of any other form passes through. One thread at a time.
class EngineAnswer {
 public:
  // Bytes to hand on and the tokens that they carry.
  struct Piece {
    std::string bytes;
    base::Tokens tokens = 0;
  };

  // When the run resumes, repeated closing events are left out.
  explicit EngineAnswer(const link::StartRun& start);

  // Takes bytes of the answer; gives the events that are whole.
  Piece Feed(std::string_view bytes);
  // What is left at the end of the answer.
  Piece Finish();

  // Tokens of the prompt: the engine's usage or, where it gives none, the bound
  // that the reservation was made with. Final after Finish.
  base::Tokens prompt_tokens() const noexcept { return prompt_tokens_; }
  // Tokens generated, resumed ones included: the engine's usage or, where it
  // gives none, the events with content.
  base::Tokens completion_tokens() const noexcept;

  // Tokens carried by the events of a stream.
  static base::Tokens CountTokens(std::string_view events);

 private:
  void ProcessEvent(std::string_view event, Piece& piece);
  // Takes the usage of an answer or event; true when it carries content.
  bool ReadJson(std::string_view text);

  bool stream_ = false;
  // An event with a finish reason, and the last event, were seen.
  bool finished_ = false;
  bool done_ = false;
  std::string buffer_;
  size_t searched_ = 0;
  base::Tokens counted_ = 0;
  base::Tokens prompt_tokens_ = 0;
  base::Tokens completion_tokens_ = 0;
  bool has_usage_ = false;
};

}  // namespace godwit::agent

#endif  // AGENT_ENGINE_ANSWER_H_
