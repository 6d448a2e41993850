#include <utility>

#include "call_flow.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kAskAgain = base::Seconds(2);

}  // namespace

void CallFlow::GiveUpPhase(Call& call) {
  const Error unreachable(ErrorKind::kUnavailable,
                          "the agents that keep track of this request's key "
                          "could not be reached",
                          "send it again with the same Idempotency-Key");
  switch (call.phase) {
    case CallPhase::kRegistering:
    case CallPhase::kReplanning:
      if (call.lost) {
        FailUnknown(call, unreachable, kAskAgain);
        Register(call, false);
        return;
      }
      Refuse(call, unreachable, kAskAgain);
      return;
    case CallPhase::kClaiming:
    case CallPhase::kReserving:
      Refuse(call,
             Error(ErrorKind::kBudgetUnavailable,
                   "the budget could not be asked in time",
                   "send the request again"),
             kAskAgain);
      return;
    case CallPhase::kStarting:
      Probe(call);
      return;
    case CallPhase::kProbing:
      FailUnknown(call,
                  Error(ErrorKind::kOutcomeUnknown,
                        "the agent that may have run the request can't be "
                        "reached",
                        "send it again with the same Idempotency-Key"),
                  kAskAgain);
      if (!call.own) {
        Forget(call);
        return;
      }
      Probe(call);
      return;
    case CallPhase::kConfirming:
      FailUnknown(call, unreachable, kAskAgain);
      if (!call.own) {
        Forget(call);
        return;
      }
      Register(call, true);
      return;
    case CallPhase::kRunning:
      return;
  }
}

void CallFlow::Refuse(Call& call,
                      const base::Error& why,
                      base::Millis retry_after) {
  if (MustConfirmRefusal(call)) {
    ConfirmRefusal(call, why, retry_after);
    return;
  }
  const bool not_run =
      !call.may_have_run && !call.ended && (!call.keyed || call.fresh);
  if (!not_run) {
    FailUnknown(call, why, retry_after);
  } else if (call.open) {
    context_.Emit(AnswerError{call.request.exchange,
                              CallerError{why.kind(), why.message(),
                                          why.remedy(), true, retry_after}});
    CloseCaller(call, Outcome::kNotRun, why.kind());
  }
  DropAttempt(call);
  Forget(call);
}

// While a registered call waited, a retry through another router may have
// taken its place in the directory and run.
bool CallFlow::MustConfirmRefusal(const Call& call) const noexcept {
  return call.open && call.keyed && call.fresh && !call.may_have_run &&
         !call.ended && !call.refusal && !call.registered.empty();
}

void CallFlow::ConfirmRefusal(Call& call,
                              const base::Error& why,
                              base::Millis retry_after) {
  DropAttempt(call);
  call.refusal = PendingRefusal{why, retry_after};
  call.sent = false;
  call.replaces = call.registered;
  call.agent = base::ProcessId();
  call.agent_incarnation = base::Incarnation();
  Bind(call, context_.NewAttempt());
  Register(call, false);
}

void CallFlow::FailUnknown(Call& call,
                           const base::Error& why,
                           base::Millis retry_after) {
  if (!call.open) {
    return;
  }
  if (call.head_sent) {
    context_.Emit(AnswerAbort{call.request.exchange});
  } else {
    context_.Emit(
        AnswerError{call.request.exchange,
                    CallerError{ErrorKind::kOutcomeUnknown, why.message(),
                                why.remedy(), false, retry_after}});
  }
  CloseCaller(call, Outcome::kOutcomeUnknown, why.kind());
}

void CallFlow::CloseCaller(Call& call, Outcome outcome, base::ErrorKind kind) {
  call.open = false;
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
  ended.gap_p95 = call.gaps.Percentile95();
  ended.total = context_.now - call.arrived;
  ended.tokens = outcome == Outcome::kAnswer ? call.billed : 0;
  context_.Emit(std::move(ended));
}

void CallFlow::DropAttempt(Call& call) {
  StopCounting(call, false);
  if (call.reserved) {
    call.reserved = false;
    context_.StepHolder(ledger::RunReleased{call.attempt});
  }
}

void CallFlow::Settle(Call& call, base::Tokens billed) {
  StopCounting(call, false);
  if (call.reserved) {
    call.reserved = false;
    context_.StepHolder(
        ledger::RunSettled{call.attempt, call.agent_incarnation, billed});
  }
}

void CallFlow::StopCounting(Call& call, bool failed) {
  if (!call.counted) {
    return;
  }
  call.counted = false;
  if (failed) {
    context_.picker.OnFailed(context_.now, call.attempt);
  } else {
    context_.picker.OnEnded(context_.now, call.attempt);
  }
}

void CallFlow::Forget(Call& call) {
  if (call.forgotten) {
    return;
  }
  call.forgotten = true;
  Unbind(call);
  forgotten_.push_back(call.request.exchange);
}

void CallFlow::Sweep() {
  for (const ExchangeId exchange : forgotten_) {
    calls_.erase(exchange);
  }
  forgotten_.clear();
}

}  // namespace godwit::router
