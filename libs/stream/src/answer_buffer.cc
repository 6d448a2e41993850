#include "stream/answer_buffer.h"

#include <algorithm>
#include <iterator>

namespace godwit::stream {

void AnswerBuffer::Append(std::string_view bytes, base::Tokens tokens) {
  if (bytes.empty()) {
    return;
  }
  bytes_.append(bytes);
  digester_.Update(bytes);
  tokens_ += tokens;
  marks_.push_back({length(), tokens_});
}

std::string_view AnswerBuffer::Read(int64_t offset,
                                    int64_t limit) const noexcept {
  if (offset < 0 || offset >= length() || limit <= 0) {
    return {};
  }
  const auto first = FirstMarkAfter(offset);
  const auto next =
      limit < length() - offset ? FirstMarkAfter(offset + limit) : marks_.end();
  const auto last = next == first ? first : std::prev(next);
  const int64_t size = last->offset - offset;
  return {bytes_.data() + offset, static_cast<size_t>(size)};
}

base::Tokens AnswerBuffer::TokensBefore(int64_t offset) const noexcept {
  const auto next = FirstMarkAfter(offset);
  return next == marks_.begin() ? 0 : std::prev(next)->tokens;
}

std::vector<AnswerBuffer::Mark>::const_iterator AnswerBuffer::FirstMarkAfter(
    int64_t offset) const noexcept {
  return std::upper_bound(
      marks_.begin(), marks_.end(), offset,
      [](int64_t value, const Mark& mark) { return value < mark.offset; });
}

}  // namespace godwit::stream
