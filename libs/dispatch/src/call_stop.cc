// Calls of a router that is about to stop.
#include <algorithm>
#include <vector>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

// Delay after which a refused caller may retry; another router takes over.
constexpr base::Millis kLeavingRetryAfter(100);
// Percentages of a route's requests whose time must be left: of those that may
// not be repeated, and of others.
constexpr int kAll = 100;
constexpr int kMost = 90;

}  // namespace

void Dispatcher::State::On(const StopRequested& event) {
  stop_ends_at_ = event.ends_at;
  RefuseBeforeStop();
}

void Dispatcher::State::On(const DrainRequested& event) {
  draining_ = true;
  stop_ends_at_ = event.ends_at;
  if (event.ends_at <= now_) {
    EndAllCalls();
  }
  budgets_.Drain();
  ProcessBudgets();
}

std::optional<base::Millis> Dispatcher::State::ExpectedRunTime(
    const Call& call) const {
  const bool may_repeat = call.route->repeat != RepeatRule::kAtMostOnce;
  auto longest =
      run_times_.Percentile(now_, call.route->name, may_repeat ? kMost : kAll);
  if (longest && may_repeat) {
    return longest;
  }
  // Servers may have become slower.
  for (const auto& [id, other] : calls_) {
    if (other->attempt != 0 && other->route->name == call.route->name) {
      longest = std::max(longest, std::optional(now_ - other->placed_at));
    }
  }
  return longest;
}

bool Dispatcher::State::MayEndBeforeStop(const Call& call,
                                         base::Millis wait) const {
  if (!stop_ends_at_ || call.may_have_run ||
      call.answer_deadline <= *stop_ends_at_) {
    return true;
  }
  const auto run = ExpectedRunTime(call);
  return run && now_ + wait + *run <= *stop_ends_at_;
}

void Dispatcher::State::RefuseBeforeStop() {
  if (!stop_ends_at_) {
    return;
  }
  std::vector<CallId> refused;
  for (const base::ServiceId& service : queue_.Services()) {
    int64_t ahead = 0;
    for (const CallId id : queue_.InOrder(service)) {
      const Call& call = *calls_.at(id);
      if (MayEndBeforeStop(call, ExpectedWait(call, ahead))) {
        ++ahead;
      } else {
        refused.push_back(id);
      }
    }
  }
  for (const CallId id : refused) {
    RefuseLeaving(*calls_.at(id));
  }
}

void Dispatcher::State::RefuseLeaving(Call& call) {
  Refuse(call, base::ErrorKind::kLeaving, "this router stops",
         kLeavingRetryAfter);
}

}  // namespace godwit::dispatch
