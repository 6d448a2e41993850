#ifndef RELAY_ANSWER_READER_H_
#define RELAY_ANSWER_READER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "relay/answer_head.h"

namespace godwit::relay {

// Incremental parser of one HTTP/1.1 answer. Interim (1xx) answers are skipped.
// Performs no I/O. Not thread-safe.
class AnswerReader {
 public:
  struct Handler {
    std::function<void(const AnswerHead&)> on_head;
    // Called with parts of the body after the transfer coding was removed.
    std::function<void(std::string_view)> on_body;
  };

  // `is_head`: the request method was HEAD, so the answer has no body.
  // `is_first`: see AnswerHead.
  AnswerReader(Handler handler, bool is_head, bool is_first = true);
  ~AnswerReader();
  AnswerReader(AnswerReader&&) noexcept;
  AnswerReader& operator=(AnswerReader&&) noexcept;

  // Parses a prefix of `bytes` and returns its length. The caller must pass the
  // remaining bytes again, followed by those received next.
  size_t Feed(std::string_view bytes);
  // Signals an orderly close of the connection. Completes an answer that is
  // delimited by the close; any other incomplete answer becomes damaged.
  void FeedEnd();

  // True once the answer is complete.
  bool complete() const noexcept;
  // True when the bytes are not a valid HTTP answer or the answer was
  // truncated.
  bool damaged() const noexcept;
  // True when the connection can be reused for another request after this
  // answer.
  bool keeps_alive() const noexcept;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::relay

#endif  // RELAY_ANSWER_READER_H_
