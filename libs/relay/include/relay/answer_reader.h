#ifndef RELAY_ANSWER_READER_H_
#define RELAY_ANSWER_READER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "relay/answer_head.h"

namespace godwit::relay {

// Parses one HTTP/1.1 answer from bytes as they arrive, without interim (1xx)
// answers. No I/O. One thread at a time.
class AnswerReader {
 public:
  struct Handler {
    std::function<void(const AnswerHead&)> on_head;
    // A piece of the body without its transfer coding.
    std::function<void(std::string_view)> on_body;
  };

  // `is_head`: the request's method was HEAD, so that the answer has no body.
  AnswerReader(Handler handler, bool is_head);
  ~AnswerReader();
  AnswerReader(AnswerReader&&) noexcept;
  AnswerReader& operator=(AnswerReader&&) noexcept;

  // Takes the front of `bytes` and returns how many were taken. The rest must
  // be given again, followed by what arrives next.
  size_t Feed(std::string_view bytes);
  // The connection was closed in order. Completes an answer that has no
  // length; any other that is not complete is damaged.
  void FeedEnd();

  // True once the answer is whole.
  bool complete() const noexcept;
  // True when the bytes are no answer, or a damaged one.
  bool damaged() const noexcept;
  // True when the connection can serve another request after this answer.
  bool keeps_alive() const noexcept;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::relay

#endif  // RELAY_ANSWER_READER_H_
