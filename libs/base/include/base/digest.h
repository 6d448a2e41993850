#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::base {

// A 128-bit XXH3 digest. Not cryptographic: it detects accidental corruption
// only. API keys and certificates use OpenSSL instead.
class Digest {
 public:
  constexpr Digest() noexcept = default;
  constexpr Digest(uint64_t high, uint64_t low) noexcept
      : high_(high), low_(low) {}

  // Digest of the given bytes.
  static Digest Of(std::string_view bytes) noexcept;
  // Parses 32 lower-case hex digits; empty for any other text.
  static std::optional<Digest> FromHex(std::string_view text) noexcept;

  constexpr uint64_t high() const noexcept { return high_; }
  constexpr uint64_t low() const noexcept { return low_; }
  // 32 lower-case hex digits.
  std::string ToHex() const;

  friend constexpr bool operator==(Digest a, Digest b) noexcept {
    return a.high_ == b.high_ && a.low_ == b.low_;
  }
  friend constexpr bool operator!=(Digest a, Digest b) noexcept {
    return !(a == b);
  }
  friend constexpr bool operator<(Digest a, Digest b) noexcept {
    return a.high_ != b.high_ ? a.high_ < b.high_ : a.low_ < b.low_;
  }

 private:
  uint64_t high_ = 0;
  uint64_t low_ = 0;
};

}  // namespace godwit::base

template <>
struct std::hash<godwit::base::Digest> {
  size_t operator()(godwit::base::Digest digest) const noexcept {
    return static_cast<size_t>(digest.low());
  }
};

#endif  // BASE_DIGEST_H_
