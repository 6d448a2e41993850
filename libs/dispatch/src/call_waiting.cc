// Calls that wait for a budget or for a slot.
#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

// Delay after which a caller may retry when the retry budget is exhausted.
constexpr base::Millis kNoRetriesRetryAfter(200);
// Calls of one service placed in one step; bounds the duration of the step.
constexpr size_t kMaxPlacedPerStep = 64;

}  // namespace

void Dispatcher::State::ProcessBudgets() {
  Emit(budgets_.Tick(now_));
  RetryReservations();
}

void Dispatcher::State::RetryReservations() {
  // By urgency, then by arrival.
  std::vector<std::tuple<int64_t, base::Millis, CallId>> waiting;
  for (const auto& [id, call] : calls_) {
    if (call->phase == Call::Phase::kAwaitingBudget) {
      waiting.emplace_back(call->urgency, call->arrived_at, id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [urgency, arrived_at, id] : waiting) {
    TryBudget(*calls_.at(id));
  }
}

void Dispatcher::State::ProcessQueues() {
  for (const base::ServiceId& service : queue_.Services()) {
    size_t placed = 0;
    // Software versions whose servers have no capacity for streams.
    std::set<std::string> full;
    for (const CallId id : queue_.InOrder(service)) {
      Call& call = *calls_.at(id);
      if (placed == kMaxPlacedPerStep) {
        break;
      }
      if (!MayEndBeforeStop(call)) {
        RefuseLeaving(call);
        continue;
      }
      if ((call.software_version && full.count(*call.software_version) > 0) ||
          MustWaitForDecision(call)) {
        continue;
      }
      const Choice choice = placement_.Choose(now_, MakePlacementRequest(call),
                                              OpenBackends(call));
      if (choice.kind == Choice::Kind::kTooLarge) {
        // The configuration was changed while it waited.
        RefuseTooLarge(call);
        continue;
      }
      if (choice.kind != Choice::Kind::kPlaced) {
        if (!call.software_version) {
          break;
        }
        // Servers of other versions may have capacity for the calls behind.
        full.insert(*call.software_version);
        continue;
      }
      ++placed;
      queue_.Start(id);
      if (call.attempts_sent > 0 && !RetryBudgetFor(service).TryRetry()) {
        Refuse(call, base::ErrorKind::kOverloaded,
               "no retries are left for the service", kNoRetriesRetryAfter);
        continue;
      }
      Start(call, choice);
    }
  }
}

}  // namespace godwit::dispatch
