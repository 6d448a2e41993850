#include <utility>

#include "call_flow.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

Error Unknown() {
  return Error(ErrorKind::kOutcomeUnknown,
               "the request was started, and its outcome is not known",
               "find out at the service before sending it as a new request");
}

}  // namespace

void CallFlow::Probe(Call& call) {
  EnterPhase(call, CallPhase::kProbing, context_.options.probe_timeout);
  SendProbe(call);
}

void CallFlow::SendProbe(Call& call) {
  if (!context_.SendTo(call.agent_incarnation,
                       link::TombstoneRun{call.attempt})) {
    context_.WantLink(call.agent);
  }
}

void CallFlow::OnRunState(Call& call, const link::RunState& state) {
  if (call.phase != CallPhase::kProbing) {
    return;
  }
  switch (state.phase) {
    case link::RunPhase::kRunning:
      Attach(call);
      return;
    case link::RunPhase::kComplete:
      if (call.open) {
        Attach(call);
        return;
      }
      call.billed = state.billed;
      Confirm(call);
      return;
    case link::RunPhase::kTombstoned:
      if (call.own) {
        TryElsewhere(call);
        return;
      }
      ReplaceForeign(call, false);
      return;
    case link::RunPhase::kFailed:
      if (call.own && state.billed > 0) {
        Settle(call, state.billed);
        FailUnknown(call, Unknown(), base::Millis());
        Forget(call);
        return;
      }
      OnAttemptLost(call);
      return;
    case link::RunPhase::kUnknown:
      FailUnknown(call, Unknown(), base::Millis());
      OnAttemptLost(call);
      return;
  }
}

void CallFlow::Attach(Call& call) {
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

// Takes over a key whose owner, started elsewhere, will never be billed.
void CallFlow::ReplaceForeign(Call& call, bool may_have_run) {
  call.may_have_run = call.may_have_run || may_have_run;
  if (!call.open) {
    Forget(call);
    return;
  }
  call.replaces = call.registered.empty() ? call.attempt : call.registered;
  call.claim_replaces = call.attempt;
  call.own = true;
  call.sent = false;
  if (!call.request.stream) {
    call.answer.clear();
  }
  Bind(call, context_.NewAttempt());
  PickAgent(call);
  Register(call, false);
}

// The attempt started, or may have, and nothing of it will be billed.
void CallFlow::OnAttemptLost(Call& call) {
  call.may_have_run = true;
  if (!call.request.repeatable) {
    FailUnknown(call, Unknown(), base::Millis());
  }
  if (!call.own) {
    if (call.open) {
      ReplaceForeign(call, true);
      return;
    }
    Forget(call);
    return;
  }
  if (call.keyed && call.reserved) {
    FenceLost(call);
    return;
  }
  if (call.open) {
    TryElsewhere(call);
    return;
  }
  DropAttempt(call);
  Forget(call);
}

// Takes the attempt's place in the directory, so that no other router can
// present its answer any more, or learns that one has.
void CallFlow::FenceLost(Call& call) {
  StopCounting(call, true);
  call.reserved = false;
  call.lost = LostAttempt{call.attempt, call.agent_incarnation};
  call.excluded.push_back(call.agent_incarnation);
  call.replaces = call.attempt;
  call.claim_replaces = call.attempt;
  call.sent = false;
  if (!call.request.stream) {
    call.answer.clear();
  }
  Bind(call, context_.NewAttempt());
  call.agent = base::ProcessId();
  call.agent_incarnation = base::Incarnation();
  if (call.open) {
    PickAgent(call);
  }
  Register(call, false);
}

void CallFlow::ResolveLost(Call& call, const link::KeyOwner& owner) {
  if (!call.lost) {
    return;
  }
  const LostAttempt lost = *call.lost;
  call.lost.reset();
  if (owner.attempt == lost.attempt && owner.complete) {
    context_.StepHolder(
        ledger::RunSettled{lost.attempt, lost.agent, owner.billed});
  } else {
    context_.StepHolder(ledger::RunReleased{lost.attempt});
  }
}

}  // namespace godwit::router
