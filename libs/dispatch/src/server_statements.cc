// What backend servers state about themselves in their answers.
#include <set>
#include <string>

#include "dispatcher_state.h"

namespace godwit::dispatch {

void Dispatcher::State::ApplyStatements(const Call& call, const Reply& reply) {
  if (reply.instance_mismatch) {
    return;
  }
  if (auto change = limits_.OnAnswer(now_, call.attempt_started_at,
                                     call.backend, reply)) {
    Emit(std::move(*change));
  }
  if (backoff_.OnAnswer(now_, call.backend, reply)) {
    Emit(BackendHealthChanged{BackendHealthChanged::Health::kBackoff,
                              call.backend.instance, call.backend.service,
                              "wants no requests for " +
                                  std::to_string(reply.retry_after->count()) +
                                  " ms",
                              ""});
  }
  if (reply.has_invalid_load &&
      invalid_loads_.insert(call.backend.key()).second) {
    Emit(BackendHealthChanged{BackendHealthChanged::Health::kInvalidLoad,
                              call.backend.instance, call.backend.service,
                              reply.load ? "the percentage can't be read"
                                         : "the report can't be read",
                              ""});
  }
  if (reply.cold_remaining || reply.has_invalid_cold_remaining) {
    if (cold_periods_.OnAnswer(now_, call.backend, reply)) {
      RecordUnreadableColdPeriod(call.backend);
    }
    if (directory_.FindByKey(call.backend.key()) != nullptr) {
      ApplyColdPeriod(call.backend);
    }
  }
  if (reply.is_leaving) {
    Emit(directory_.MarkLeaving(call.backend));
  }
}

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const LimitNotice& notice) {
  const Backend* const backend = directory_.FindByKey(notice.backend);
  if (backend == nullptr) {
    return;
  }
  if (auto change = limits_.OnNotice(now_, *backend, notice)) {
    Emit(std::move(*change));
    ProcessQueues();
  }
}

void Dispatcher::State::Broadcast(const RouterMessage& message) {
  for (const auto& [process, address] : members_.members()) {
    if (process != options_.process) {
      Emit(SendToRouter{address, message});
    }
  }
}

void Dispatcher::State::ForgetRemovedBackends() {
  const std::set<std::string> keys = directory_.Keys();
  limits_.Retain(keys);
  backoff_.Retain(keys);
  cold_periods_.Retain(now_, keys);
  for (auto key = invalid_loads_.begin(); key != invalid_loads_.end();) {
    key = keys.count(*key) == 0 ? invalid_loads_.erase(key) : std::next(key);
  }
}

void Dispatcher::State::ApplyColdPeriod(const Backend& backend) {
  const auto limit = cold_periods_.LimitOf(now_, backend);
  auto change = limits_.SetCold(now_, backend, limit);
  if (limit || change) {
    placement_.SetColdUntil(backend, limit ? limit->until : base::Millis());
  }
  if (change) {
    Emit(std::move(*change));
  }
}

void Dispatcher::State::ApplyColdPeriods() {
  for (const Backend* const backend : directory_.RegisteredBackends()) {
    ApplyColdPeriod(*backend);
  }
}

void Dispatcher::State::RecordUnreadableColdPeriod(const Backend& backend) {
  BackendColdChanged change;
  change.instance = backend.instance;
  change.service = backend.service;
  change.is_unreadable = true;
  Emit(std::move(change));
}

}  // namespace godwit::dispatch
