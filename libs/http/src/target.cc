#include "http/target.h"

#include <charconv>

namespace godwit::http {
namespace {

constexpr size_t kEscapeLength = 3;
constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

std::optional<char> DecodeEscape(std::string_view escape) {
  if (escape.size() < kEscapeLength) {
    return std::nullopt;
  }
  unsigned value = 0;
  const char* end = escape.data() + kEscapeLength;
  const auto [stop, error] = std::from_chars(escape.data() + 1, end, value, 16);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] != '%') {
      decoded.push_back(text[at]);
      continue;
    }
    const std::optional<char> value = DecodeEscape(text.substr(at));
    if (!value) {
      return std::nullopt;
    }
    decoded.push_back(*value);
    at += kEscapeLength - 1;
  }
  return decoded;
}

bool ParseParameter(std::string_view text, Target* target) {
  const size_t equals = text.find('=');
  const auto name = PercentDecode(text.substr(0, equals));
  const auto value = PercentDecode(
      equals == std::string_view::npos ? "" : text.substr(equals + 1));
  if (!name || !value) {
    return false;
  }
  target->query.emplace(*name, *value);
  return true;
}

}  // namespace

std::optional<Target> Target::Parse(std::string_view text) {
  const size_t question = text.find('?');
  const auto path = PercentDecode(text.substr(0, question));
  if (!path) {
    return std::nullopt;
  }
  Target target;
  target.path = *path;
  std::string_view remaining =
      question == std::string_view::npos ? "" : text.substr(question + 1);
  while (!remaining.empty()) {
    const size_t ampersand = remaining.find('&');
    if (!ParseParameter(remaining.substr(0, ampersand), &target)) {
      return std::nullopt;
    }
    remaining = ampersand == std::string_view::npos
                    ? ""
                    : remaining.substr(ampersand + 1);
  }
  return target;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte / 16]);
    encoded.push_back(kHexDigits[byte % 16]);
  }
  return encoded;
}

}  // namespace godwit::http
