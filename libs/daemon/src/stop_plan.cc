#include "daemon/stop_plan.h"

namespace godwit::daemon {

void StopPlan::Begin(base::Millis now) noexcept {
  if (!begun_at_) {
    begun_at_ = now;
  }
}

StopPlan::Action StopPlan::Step(base::Millis now,
                                size_t open_calls,
                                bool drained) noexcept {
  if (!begun_at_ || ended_) {
    return Action::kNone;
  }
  const base::Millis refuse_at = *begun_at_ + limits_.grace;
  if (!refusing_) {
    refusing_ = now >= refuse_at;
    return refusing_ ? Action::kRefuse : Action::kNone;
  }
  if (open_calls > 0) {
    idle_since_.reset();
    return now >= drain_ends_at() ? End(Action::kEndDrainTimedOut)
                                  : Action::kNone;
  }
  if (drained) {
    return End(Action::kEnd);
  }
  if (!idle_since_) {
    idle_since_ = now;
  }
  return now >= *idle_since_ + limits_.budget_return
             ? End(Action::kEndReturnTimedOut)
             : Action::kNone;
}

base::Millis StopPlan::drain_ends_at() const noexcept {
  return *begun_at_ + limits_.grace + limits_.drain;
}

StopPlan::Action StopPlan::End(Action action) noexcept {
  ended_ = true;
  return action;
}

}  // namespace godwit::daemon
