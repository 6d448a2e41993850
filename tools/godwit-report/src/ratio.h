#ifndef GODWIT_REPORT_RATIO_H_
#define GODWIT_REPORT_RATIO_H_

#include <cstdint>

namespace godwit::report {

// Number of events and of bad events among them.
struct Ratio {
  int64_t total = 0;
  int64_t bad = 0;

  // Share of bad events; 0 if there are no events.
  double bad_share() const noexcept {
    return total == 0 ? 0
                      : static_cast<double>(bad) / static_cast<double>(total);
  }
  Ratio& operator+=(const Ratio& other) noexcept {
    total += other.total;
    bad += other.bad;
    return *this;
  }
  friend bool operator==(const Ratio& a, const Ratio& b) noexcept {
    return a.total == b.total && a.bad == b.bad;
  }
  friend bool operator!=(const Ratio& a, const Ratio& b) noexcept {
    return !(a == b);
  }
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_RATIO_H_
