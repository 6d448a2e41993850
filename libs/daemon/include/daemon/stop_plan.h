#ifndef DAEMON_STOP_PLAN_H_
#define DAEMON_STOP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/millis.h"

namespace godwit::daemon {

// Order of a router's stop: unready at once, requests refused after a grace,
// those in progress finished, budgets handed back. Decides by times that come
// in; does no I/O.
class StopPlan {
 public:
  struct Limits {
    // Requests that arrive within this are still served.
    base::Millis grace;
    // Longest wait for requests in progress, from the end of the grace.
    base::Millis drain;
    // Longest wait for the hand-over of budgets, from the last request's end.
    base::Millis budget_return;
  };

  enum class Action : uint8_t {
    kNone,
    // Refuse new requests.
    kRefuse,
    // End with everything done.
    kEnd,
    // End although budgets are not handed over.
    kEndReturnTimedOut,
    // End although requests are in progress.
    kEndDrainTimedOut,
  };

  explicit StopPlan(Limits limits) noexcept : limits_(limits) {}

  // The stop begins; further calls do nothing.
  void Begin(base::Millis now) noexcept;
  // What to do at `now`. Each action comes once; nothing comes after an end.
  // `open_calls` counts requests in progress, unbilled ones included; `drained`
  // tells that budgets are handed over.
  Action Step(base::Millis now, size_t open_calls, bool drained) noexcept;

  bool begun() const noexcept { return begun_at_.has_value(); }
  // True once a Step returned an end.
  bool ended() const noexcept { return ended_; }

 private:
  Action End(Action action) noexcept;

  const Limits limits_;
  std::optional<base::Millis> begun_at_;
  std::optional<base::Millis> idle_since_;
  bool refusing_ = false;
  bool ended_ = false;
};

}  // namespace godwit::daemon

#endif  // DAEMON_STOP_PLAN_H_
