#ifndef AGENT_ENGINE_ANSWER_H_
#define AGENT_ENGINE_ANSWER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "link/start_run.h"

namespace godwit::agent {

// Parses the answer of a model engine as it is received: splits a stream of
// server-sent events into complete events, counts the tokens that they carry
// and extracts the usage. Text of any other form passes through unchanged. Not
// thread-safe.
class EngineAnswer {
 public:
  // Bytes to forward and the number of tokens that they carry.
  struct Piece {
    std::string bytes;
    base::Tokens tokens = 0;
  };

  // If the run resumes, repeated closing events are left out.
  explicit EngineAnswer(const link::StartRun& start);

  // Adds received bytes of the answer and returns the events that are complete.
  Piece Feed(std::string_view bytes);
  // Ends the answer and returns the remaining bytes; an incomplete event of a
  // resumed stream is left out.
  Piece Finish();

  // Tokens of the prompt: the usage reported by the engine or, if it reports
  // none, the bound that the reservation was based on. Final after Finish.
  base::Tokens prompt_tokens() const noexcept { return prompt_tokens_; }
  // Tokens generated, resumed ones included: the usage reported by the engine
  // or, if it reports none, the number of events with content.
  base::Tokens completion_tokens() const noexcept;

  // False for a stream whose final event has not been received.
  bool has_final_event() const noexcept { return !stream_ || done_; }

  // Returns the number of tokens carried by the events of a stream.
  static base::Tokens CountTokens(std::string_view events);

 private:
  void ProcessEvent(std::string_view event, Piece& piece);
  // Reads the usage from an answer or event; returns true if it carries
  // content.
  bool ReadJson(std::string_view text);

  bool stream_ = false;
  // Whether an event with a finish reason, and the final event, were received.
  bool finished_ = false;
  bool done_ = false;
  // The stream resumes one that its caller has received in part.
  bool resumes_ = false;
  // Streams: the incomplete event at the end; its first `searched_` bytes do
  // not contain its end. Other answers: all bytes, as far as they are parsed.
  std::string buffer_;
  size_t searched_ = 0;
  // Events with content, including those of a resumed answer.
  base::Tokens counted_ = 0;
  base::Tokens prompt_tokens_ = 0;
  base::Tokens completion_tokens_ = 0;
  bool has_usage_ = false;
};

}  // namespace godwit::agent

#endif  // AGENT_ENGINE_ANSWER_H_
