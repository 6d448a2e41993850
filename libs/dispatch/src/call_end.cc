#include <algorithm>
#include <vector>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

// Upper bound on the events that a server may have produced beyond those that
// were relayed, when an answer ends early.
constexpr int64_t kMaxEventsInFlight = 4;

}  // namespace

ledger::Usage Dispatcher::State::UsageOf(const Call& call,
                                         bool complete) const {
  if (call.reserved == 0 ||
      (!call.may_have_run && call.events == 0 && !complete)) {
    return {};
  }
  const Prompt& prompt = *call.request.prompt;
  const ServiceProfile* const service = call.table->Find(call.service);
  const int64_t per_event = service == nullptr || !service->engine
                                ? 1
                                : service->engine->tokens_per_event;
  const base::Tokens delivered =
      std::min(call.reserved, prompt.input_tokens + call.events * per_event);
  if (complete) {
    return {delivered, 0};
  }
  const base::Tokens upper_bound =
      std::min(call.reserved, delivered + kMaxEventsInFlight * per_event);
  return {upper_bound, call.events > 0 ? upper_bound - delivered : upper_bound};
}

void Dispatcher::State::Refuse(Call& call,
                               base::ErrorKind kind,
                               std::string reason,
                               base::Millis retry_after) {
  RefuseCall refusal;
  refusal.call = call.id;
  refusal.kind = kind;
  refusal.reason = reason;
  refusal.retry_after = retry_after;
  Emit(std::move(refusal));
  End(call, std::string(base::ErrorKindName(kind)), std::move(reason));
}

// Destroys `call`.
void Dispatcher::State::End(Call& call,
                            std::string outcome,
                            std::string reason) {
  const ledger::Usage used = UsageOf(call, outcome == "answered");
  if (call.has_budget && call.reserved > 0) {
    budgets_.Settle(now_, base::BudgetId(call.organisation.value()),
                    call.reserved, used);
  }
  CallEnded ended;
  ended.call = call.id;
  ended.request_id = call.request.id;
  ended.route = call.route == nullptr ? "" : call.route->name;
  ended.service = call.service;
  ended.organisation = call.organisation;
  ended.outcome = std::move(outcome);
  ended.reason = std::move(reason);
  ended.backend = call.backend.instance;
  ended.attempts = call.attempts_sent;
  ended.answer_status = call.answer_status;
  ended.states_not_run = call.states_not_run;
  ended.events = call.events;
  ended.tokens = used.tokens;
  ended.may_have_run = call.may_have_run;
  ended.queue_time = call.attempts_sent > 0 ? call.placed_at - call.arrived_at
                                            : now_ - call.arrived_at;
  ended.first_byte = call.first_byte_at == base::Millis()
                         ? base::Millis()
                         : call.first_byte_at - call.arrived_at;
  ended.longest_gap = call.longest_gap;
  ended.total = now_ - call.arrived_at;
  ended.config_version = call.table == nullptr ? 0 : call.table->version();
  ended.config_age = now_ - configuration_answered_at_;
  Emit(std::move(ended));
  queue_.Remove(call.id);
  awaiting_origin_.erase(call.id);
  calls_.erase(call.id);
}

void Dispatcher::State::EndAllCalls() {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  for (const CallId id : ids) {
    Call& call = *calls_.at(id);
    if (call.attempt != 0) {
      Cancel(call, Placement::Outcome::kCancelled);
      call.may_have_run = true;
      Finish(call, RunOutcome::kMayHaveRun, "this router stops");
    } else {
      Refuse(call,
             call.may_have_run ? base::ErrorKind::kOutcomeUnknown
                               : base::ErrorKind::kLeaving,
             "this router stops", base::Millis());
    }
  }
}

}  // namespace godwit::dispatch
