#ifndef STREAM_ANSWER_BUFFER_H_
#define STREAM_ANSWER_BUFFER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/digester.h"
#include "base/ids.h"

namespace godwit::stream {

// The answer bytes of one run, with the number of tokens in them. Not
// thread-safe.
class AnswerBuffer {
 public:
  // Appends a piece that contains `tokens` further tokens.
  void Append(std::string_view bytes, base::Tokens tokens);

  // Bytes from `offset` to the end of an appended piece: as many pieces as end
  // within `limit` bytes, at least one, so that the result never ends inside a
  // piece. Empty when there are none. The view is valid until the next Append.
  std::string_view Read(int64_t offset, int64_t limit) const noexcept;

  // Bytes appended so far.
  int64_t length() const noexcept {
    return static_cast<int64_t>(bytes_.size());
  }
  // Tokens appended so far.
  base::Tokens tokens() const noexcept { return tokens_; }
  // Tokens of the pieces that end at or before `offset`.
  base::Tokens TokensBefore(int64_t offset) const noexcept;
  // Digest of the bytes so far.
  base::Digest digest() const noexcept { return digester_.Value(); }

 private:
  // The end offset of a piece, and the number of tokens up to it.
  struct Mark {
    int64_t offset = 0;
    base::Tokens tokens = 0;
  };

  std::string bytes_;
  base::Tokens tokens_ = 0;
  // The first mark after `offset`; marks_.end() when there is none.
  std::vector<Mark>::const_iterator FirstMarkAfter(
      int64_t offset) const noexcept;

  std::vector<Mark> marks_;
  base::Digester digester_;
};

}  // namespace godwit::stream

#endif  // STREAM_ANSWER_BUFFER_H_
