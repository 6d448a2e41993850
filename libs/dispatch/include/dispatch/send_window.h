#ifndef DISPATCH_SEND_WINDOW_H_
#define DISPATCH_SEND_WINDOW_H_

#include <cstddef>
#include <deque>

#include "base/millis.h"

namespace godwit::dispatch {

// One router's share of the requests that a server accepts in a short time.
// Handles servers that crash under a burst: unlike a mean rate, the number of
// requests in any window is bounded, whatever was sent before or left unused.
// No I/O. Not thread-safe.
class SendWindow {
 public:
  // Allows `count` requests in any `span`, spaced evenly as far as there are
  // requests, and none if `count` is 0. If that is less often than before, or
  // the first allowance, none is sent before `earliest`.
  void SetAllowance(size_t count, base::Millis span, base::Millis earliest);

  bool MaySend(base::Millis now) const;
  void OnSent(base::Millis now);
  // Requests a second that are allowed.
  double rate() const;

 private:
  base::Millis Spacing() const;

  size_t count_ = 0;
  base::Millis span_;
  base::Millis next_send_at_;
  // Requests sent within the last span, and possibly older ones.
  std::deque<base::Millis> sent_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SEND_WINDOW_H_
