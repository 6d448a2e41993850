#include "base/digest.h"

#include <xxhash.h>

#include <cstdio>

namespace godwit::base {
namespace {

constexpr size_t kHexDigits = 32;

std::optional<unsigned> HexDigitValue(char c) noexcept {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return std::nullopt;
}

std::optional<uint64_t> ParseHex64(std::string_view text) noexcept {
  uint64_t value = 0;
  for (const char c : text) {
    const auto digit = HexDigitValue(c);
    if (!digit) {
      return std::nullopt;
    }
    value = (value << 4U) | *digit;
  }
  return value;
}

}  // namespace

Digest Digest::Of(std::string_view bytes) noexcept {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return Digest(hash.high64, hash.low64);
}

std::optional<Digest> Digest::FromHex(std::string_view text) noexcept {
  if (text.size() != kHexDigits) {
    return std::nullopt;
  }
  const auto high = ParseHex64(text.substr(0, kHexDigits / 2));
  const auto low = ParseHex64(text.substr(kHexDigits / 2));
  if (!high || !low) {
    return std::nullopt;
  }
  return Digest(*high, *low);
}

std::string Digest::ToHex() const {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(high_),
                static_cast<unsigned long long>(low_));
  return text;
}

}  // namespace godwit::base
