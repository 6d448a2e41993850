#ifndef ANSWER_H_
#define ANSWER_H_

#include <cstdint>
#include <string>

namespace godwit::standin {

// The answer to one prompt: a sequence of tokens that depends on nothing else,
// so that a resumed answer continues exactly where the first one stopped.
class Answer {
 public:
  // The length of the complete answer is between the bounds, which are
  // inclusive.
  Answer(const std::string& prompt, int64_t min_tokens, int64_t max_tokens);

  // Number of tokens of the complete answer.
  int64_t length() const noexcept { return length_; }
  // Text of the token at `index`: a word, a number and a space.
  std::string Token(int64_t index) const;

 private:
  uint64_t seed_;
  int64_t length_;
};

}  // namespace godwit::standin

#endif  // ANSWER_H_
