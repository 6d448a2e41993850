#include <utility>

#include "call_lifecycle.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

Error OutcomeUnknown() {
  return Error(ErrorKind::kOutcomeUnknown,
               "the request was started, and its outcome is not known",
               "find out at the service before sending it as a new request");
}

}  // namespace

void CallLifecycle::Probe(Call& call) {
  EnterPhase(call, CallPhase::kProbing, context_.options.probe_timeout);
  SendProbe(call);
}

void CallLifecycle::SendProbe(Call& call) {
  if (!context_.SendTo(call.agent_incarnation,
                       link::TombstoneRun{call.attempt})) {
    context_.RequestLink(call.agent);
  }
}

void CallLifecycle::OnRunState(Call& call, const link::RunState& state) {
  if (call.phase != CallPhase::kProbing) {
    return;
  }
  switch (state.phase) {
    case link::RunPhase::kRunning:
      Attach(call);
      return;
    case link::RunPhase::kComplete:
      if (call.caller_waits) {
        Attach(call);
        return;
      }
      call.billed_tokens = state.billed;
      Confirm(call);
      return;
    case link::RunPhase::kTombstoned:
      if (call.owns_attempt) {
        RetryOnAnotherAgent(call);
        return;
      }
      TakeOverKey(call, false);
      return;
    case link::RunPhase::kFailed:
      if (call.owns_attempt && state.billed > 0) {
        Settle(call, state.billed);
        FailOutcomeUnknown(call, OutcomeUnknown(), base::Millis());
        FinishCall(call);
        return;
      }
      OnAttemptLost(call);
      return;
    case link::RunPhase::kUnknown:
      FailOutcomeUnknown(call, OutcomeUnknown(), base::Millis());
      OnAttemptLost(call);
      return;
  }
}

void CallLifecycle::Attach(Call& call) {
  if (!call.assembler) {
    call.assembler.emplace(call.key, call.attempt);
  }
  EnterPhase(call, CallPhase::kRunning, base::Millis());
  link::AttachRun attach;
  attach.key = call.key;
  attach.attempt = call.attempt;
  attach.offset = call.assembler->offset();
  attach.credit = CreditFor(call);
  context_.SendTo(call.agent_incarnation, std::move(attach));
}

// Takes over a key whose owner was started by another router and will never be
// billed.
void CallLifecycle::TakeOverKey(Call& call, bool may_have_run) {
  call.may_have_run = call.may_have_run || may_have_run;
  if (!call.caller_waits) {
    FinishCall(call);
    return;
  }
  call.replaces =
      call.registered_attempt.empty() ? call.attempt : call.registered_attempt;
  call.claim_replaces = call.attempt;
  call.owns_attempt = true;
  call.start_sent = false;
  if (!call.request.stream) {
    call.answer.clear();
  }
  BindAttempt(call, context_.NewAttempt());
  PickAgent(call);
  Register(call, false);
}

// The attempt started, or may have started, and nothing will be billed for it.
void CallLifecycle::OnAttemptLost(Call& call) {
  call.may_have_run = true;
  if (!call.request.repeatable) {
    FailOutcomeUnknown(call, OutcomeUnknown(), base::Millis());
  }
  if (!call.owns_attempt) {
    if (call.caller_waits) {
      TakeOverKey(call, true);
      return;
    }
    FinishCall(call);
    return;
  }
  if (call.has_key && call.reserved) {
    FenceLostAttempt(call);
    return;
  }
  if (call.caller_waits) {
    RetryOnAnotherAgent(call);
    return;
  }
  ReleaseAttempt(call);
  FinishCall(call);
}

// Replaces the attempt in the directory, so that no other router can deliver
// its answer any more, or learns that one already has.
void CallLifecycle::FenceLostAttempt(Call& call) {
  ReleasePickerCount(call, true);
  call.reserved = false;
  call.lost_attempt = LostAttempt{call.attempt, call.agent_incarnation};
  call.excluded_agents.push_back(call.agent_incarnation);
  call.replaces = call.attempt;
  call.claim_replaces = call.attempt;
  call.start_sent = false;
  if (!call.request.stream) {
    call.answer.clear();
  }
  BindAttempt(call, context_.NewAttempt());
  call.agent = base::ProcessId();
  call.agent_incarnation = base::Incarnation();
  if (call.caller_waits) {
    PickAgent(call);
  }
  Register(call, false);
}

void CallLifecycle::ResolveLostAttempt(Call& call,
                                       const link::KeyOwner& owner) {
  if (!call.lost_attempt) {
    return;
  }
  const LostAttempt lost = *call.lost_attempt;
  call.lost_attempt.reset();
  if (owner.attempt == lost.attempt && owner.complete) {
    context_.StepBudgetManager(
        ledger::RunSettled{lost.attempt, lost.agent, owner.billed});
  } else {
    context_.StepBudgetManager(ledger::RunReleased{lost.attempt});
  }
}

}  // namespace godwit::router
