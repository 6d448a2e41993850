#include "stream/answer_buffer.h"

#include <algorithm>

namespace godwit::stream {

void AnswerBuffer::Append(std::string_view bytes, base::Tokens tokens) {
  bytes_.append(bytes);
  digester_.Update(bytes);
  tokens_ += tokens;
  if (tokens != 0) {
    marks_.push_back({length(), tokens_});
  }
}

std::string_view AnswerBuffer::Read(int64_t offset,
                                    int64_t limit) const noexcept {
  if (offset < 0 || offset >= length() || limit <= 0) {
    return {};
  }
  const int64_t size = std::min(limit, length() - offset);
  return {bytes_.data() + offset, static_cast<size_t>(size)};
}

base::Tokens AnswerBuffer::TokensBefore(int64_t offset) const noexcept {
  const auto after = std::upper_bound(
      marks_.begin(), marks_.end(), offset,
      [](int64_t value, const Mark& mark) { return value < mark.offset; });
  return after == marks_.begin() ? 0 : std::prev(after)->tokens;
}

}  // namespace godwit::stream
