#include <utility>

#include "call_lifecycle.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kRetryAfter = base::Seconds(2);

}  // namespace

void CallLifecycle::OnPhaseTimeout(Call& call) {
  const Error unreachable(ErrorKind::kUnavailable,
                          "the agents that keep track of this request's key "
                          "could not be reached",
                          "send it again with the same Idempotency-Key");
  switch (call.phase) {
    case CallPhase::kRegistering:
    case CallPhase::kReplanning:
      if (call.lost_attempt) {
        FailOutcomeUnknown(call, unreachable, kRetryAfter);
        Register(call, false);
        return;
      }
      Refuse(call, unreachable, kRetryAfter);
      return;
    case CallPhase::kClaiming:
    case CallPhase::kReserving:
      Refuse(call,
             Error(ErrorKind::kBudgetUnavailable,
                   "the budget could not be asked in time",
                   "send the request again"),
             kRetryAfter);
      return;
    case CallPhase::kStarting:
      Probe(call);
      return;
    case CallPhase::kProbing:
      FailOutcomeUnknown(
          call,
          Error(ErrorKind::kOutcomeUnknown,
                "the agent that may have run the request can't be "
                "reached",
                "send it again with the same Idempotency-Key"),
          kRetryAfter);
      if (!call.owns_attempt) {
        FinishCall(call);
        return;
      }
      Probe(call);
      return;
    case CallPhase::kConfirming:
      FailOutcomeUnknown(call, unreachable, kRetryAfter);
      if (!call.owns_attempt) {
        FinishCall(call);
        return;
      }
      Register(call, true);
      return;
    case CallPhase::kRunning:
      return;
  }
}

void CallLifecycle::Refuse(Call& call,
                           const base::Error& error,
                           base::Millis retry_after) {
  if (MustConfirmRefusal(call)) {
    ConfirmRefusal(call, error, retry_after);
    return;
  }
  const bool not_run = !call.may_have_run && !call.run_ended &&
                       (!call.has_key || call.is_first_for_key);
  if (!not_run) {
    FailOutcomeUnknown(call, error, retry_after);
  } else if (call.caller_waits) {
    context_.Emit(AnswerError{call.request.exchange,
                              CallerError{error.kind(), error.message(),
                                          error.remedy(), true, retry_after}});
    CloseCaller(call, Outcome::kNotRun, error.kind());
  }
  ReleaseAttempt(call);
  FinishCall(call);
}

// While a registered call waited, a retry through another router may have
// replaced it in the directory and run.
bool CallLifecycle::MustConfirmRefusal(const Call& call) const noexcept {
  return call.caller_waits && call.has_key && call.is_first_for_key &&
         !call.may_have_run && !call.run_ended && !call.pending_refusal &&
         !call.registered_attempt.empty();
}

void CallLifecycle::ConfirmRefusal(Call& call,
                                   const base::Error& error,
                                   base::Millis retry_after) {
  ReleaseAttempt(call);
  call.pending_refusal = PendingRefusal{error, retry_after};
  call.start_sent = false;
  call.replaces = call.registered_attempt;
  call.agent = base::ProcessId();
  call.agent_incarnation = base::Incarnation();
  BindAttempt(call, context_.NewAttempt());
  Register(call, false);
}

void CallLifecycle::AnswerOpenCalls() {
  const Error leaving(ErrorKind::kLeaving, "this router is shutting down",
                      "send the request again; another router takes it");
  for (auto& [exchange, call] : calls_) {
    const bool not_run = call.caller_waits && !call.start_sent &&
                         !call.may_have_run && !call.has_key;
    if (!not_run) {
      FailOutcomeUnknown(call, leaving, kRetryAfter);
      continue;
    }
    context_.Emit(
        AnswerError{call.request.exchange,
                    CallerError{leaving.kind(), leaving.message(),
                                leaving.remedy(), true, kRetryAfter}});
    CloseCaller(call, Outcome::kNotRun, leaving.kind());
  }
}

void CallLifecycle::FailOutcomeUnknown(Call& call,
                                       const base::Error& error,
                                       base::Millis retry_after) {
  if (!call.caller_waits) {
    return;
  }
  if (call.head_sent) {
    context_.Emit(AnswerAbort{call.request.exchange});
  } else {
    context_.Emit(
        AnswerError{call.request.exchange,
                    CallerError{ErrorKind::kOutcomeUnknown, error.message(),
                                error.remedy(), false, retry_after}});
  }
  CloseCaller(call, Outcome::kOutcomeUnknown, error.kind());
}

void CallLifecycle::CloseCaller(Call& call,
                                Outcome outcome,
                                base::ErrorKind kind) {
  call.caller_waits = false;
  if (call.admitted) {
    context_.limits.Release(call.organisation->id);
    call.admitted = false;
  }
  RequestEnded ended;
  ended.service = call.request.service;
  ended.organisation = call.request.organisation;
  ended.traffic_class = call.traffic_class->name;
  ended.outcome = outcome;
  ended.kind = kind;
  ended.status = outcome == Outcome::kAnswer ? call.status : 0;
  ended.first_byte = call.first_byte;
  ended.gap_p95 = call.piece_gaps.Percentile95();
  ended.total = context_.now - call.arrived_at;
  ended.tokens = outcome == Outcome::kAnswer ? call.billed_tokens : 0;
  context_.Emit(std::move(ended));
}

void CallLifecycle::ReleaseAttempt(Call& call) {
  ReleasePickerCount(call, false);
  if (call.reserved) {
    call.reserved = false;
    context_.StepBudgetManager(ledger::RunReleased{call.attempt});
  }
}

void CallLifecycle::Settle(Call& call, base::Tokens billed) {
  ReleasePickerCount(call, false);
  if (call.reserved) {
    call.reserved = false;
    context_.StepBudgetManager(
        ledger::RunSettled{call.attempt, call.agent_incarnation, billed});
  }
}

void CallLifecycle::ReleasePickerCount(Call& call, bool failed) {
  if (!call.counted_by_picker) {
    return;
  }
  call.counted_by_picker = false;
  if (failed) {
    context_.picker.OnFailed(context_.now, call.attempt);
  } else {
    context_.picker.OnEnded(context_.now, call.attempt);
  }
}

void CallLifecycle::FinishCall(Call& call) {
  if (call.finished) {
    return;
  }
  call.finished = true;
  UnbindAttempt(call);
  finished_.push_back(call.request.exchange);
}

void CallLifecycle::EraseFinishedCalls() {
  for (const ExchangeId exchange : finished_) {
    calls_.erase(exchange);
  }
  finished_.clear();
}

}  // namespace godwit::router
