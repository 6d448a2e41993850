#include "dispatch/send_window.h"

#include <algorithm>
#include <cstdint>

namespace godwit::dispatch {
namespace {

// How early a request may be sent, so that the time between ticks does not
// reduce the rate: a part of the spacing, and at least the time between ticks.
constexpr int64_t kToleranceDivisor = 2;
constexpr base::Millis kMinTolerance(50);
constexpr double kMillisPerSecond = 1000;

}  // namespace

base::Millis SendWindow::Spacing() const {
  return base::Millis(span_.count() /
                      static_cast<int64_t>(std::max<size_t>(1, count_)));
}

void SendWindow::SetAllowance(size_t count,
                              base::Millis span,
                              base::Millis earliest) {
  if (count == count_ && span == span_) {
    return;
  }
  const bool is_first = count_ == 0;
  const base::Millis spacing_before = Spacing();
  count_ = count;
  span_ = span;
  next_send_at_ = is_first || Spacing() > spacing_before
                      ? std::max(next_send_at_, earliest)
                      : std::min(next_send_at_, earliest);
}

bool SendWindow::MaySend(base::Millis now) const {
  if (count_ == 0) {
    return false;
  }
  const base::Millis tolerance = std::max(
      kMinTolerance, base::Millis(Spacing().count() / kToleranceDivisor));
  return now + tolerance >= next_send_at_ &&
         (sent_.size() < count_ || now - sent_[sent_.size() - count_] >= span_);
}

void SendWindow::OnSent(base::Millis now) {
  while (!sent_.empty() && now - sent_.front() >= span_) {
    sent_.pop_front();
  }
  sent_.push_back(now);
  next_send_at_ = std::max(next_send_at_, now) + Spacing();
}

double SendWindow::rate() const {
  return count_ == 0
             ? 0
             : kMillisPerSecond * static_cast<double>(count_) /
                   static_cast<double>(std::max<int64_t>(1, span_.count()));
}

}  // namespace godwit::dispatch
