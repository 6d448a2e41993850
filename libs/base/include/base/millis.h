#ifndef BASE_MILLIS_H_
#define BASE_MILLIS_H_

#include <cstdint>

namespace godwit::base {

// A point in time or a duration, in milliseconds. The source of a point in time
// defines its epoch. Decision code is only passed points in time and reads no
// clock.
class Millis {
 public:
  constexpr Millis() noexcept = default;
  constexpr explicit Millis(int64_t count) noexcept : count_(count) {}

  // Number of milliseconds; a duration may be negative.
  constexpr int64_t count() const noexcept { return count_; }

  friend constexpr Millis operator+(Millis a, Millis b) noexcept {
    return Millis(a.count_ + b.count_);
  }
  friend constexpr Millis operator-(Millis a, Millis b) noexcept {
    return Millis(a.count_ - b.count_);
  }
  friend constexpr Millis operator*(Millis a, int64_t factor) noexcept {
    return Millis(a.count_ * factor);
  }
  friend constexpr bool operator==(Millis a, Millis b) noexcept {
    return a.count_ == b.count_;
  }
  friend constexpr bool operator!=(Millis a, Millis b) noexcept {
    return a.count_ != b.count_;
  }
  friend constexpr bool operator<(Millis a, Millis b) noexcept {
    return a.count_ < b.count_;
  }
  friend constexpr bool operator<=(Millis a, Millis b) noexcept {
    return a.count_ <= b.count_;
  }
  friend constexpr bool operator>(Millis a, Millis b) noexcept {
    return a.count_ > b.count_;
  }
  friend constexpr bool operator>=(Millis a, Millis b) noexcept {
    return a.count_ >= b.count_;
  }

 private:
  int64_t count_ = 0;
};

constexpr Millis Seconds(int64_t count) noexcept {
  return Millis(count * 1000);
}

}  // namespace godwit::base

#endif  // BASE_MILLIS_H_
