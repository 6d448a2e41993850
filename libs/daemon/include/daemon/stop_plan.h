#ifndef DAEMON_STOP_PLAN_H_
#define DAEMON_STOP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/millis.h"

namespace godwit::daemon {

// Sequence of an orderly router shutdown: reports not ready at once, refuses
// new requests after a grace period, finishes requests in progress and returns
// budgets. A state machine driven by the times passed in; does no I/O.
class StopPlan {
 public:
  struct Limits {
    // Period after the start of the stop in which new requests are still
    // served.
    base::Millis grace;
    // Timeout for requests in progress, from the end of the grace period.
    base::Millis drain;
    // Timeout for the return of budgets, from the end of the last request.
    base::Millis budget_return;
  };

  enum class Action : uint8_t {
    kNone,
    // Refuse new requests.
    kRefuse,
    // End; everything has completed.
    kEnd,
    // End although budgets have not been returned.
    kEndReturnTimedOut,
    // End although requests are still in progress.
    kEndDrainTimedOut,
  };

  explicit StopPlan(Limits limits) noexcept : limits_(limits) {}

  // Starts the stop. Further calls have no effect.
  void Begin(base::Millis now) noexcept;
  // Returns the action due at `now`. Each action is returned once, and none
  // after an end. `open_calls` counts requests in progress, including those not
  // yet billed; `drained` is true once budgets have been returned.
  Action Step(base::Millis now, size_t open_calls, bool drained) noexcept;

  // When requests in progress are ended. Requires begun().
  base::Millis drain_ends_at() const noexcept;
  bool begun() const noexcept { return begun_at_.has_value(); }
  // True once Step() has returned one of the end actions.
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
