#ifndef BASE_PARSE_NUMBER_H_
#define BASE_PARSE_NUMBER_H_

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace godwit::base {

// Parses all of `text` as an integer in `radix`. Empty when any character does
// not belong to the number, or when Number can't represent it.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text, int radix = 10) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, radix);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace godwit::base

#endif  // BASE_PARSE_NUMBER_H_
