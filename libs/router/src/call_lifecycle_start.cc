#include <utility>

#include "call_lifecycle.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kRetryAfter = base::Seconds(1);
// Maximum wait for a reservation or a claim.
constexpr base::Millis kBudgetOrClaimTimeout = base::Seconds(1);
// Typical bytes of text per token. prompt_tokens_bound assumes one byte per
// token.
constexpr base::Tokens kBytesPerToken = 4;
// Deadline for resuming an answer, part of which has been sent to the caller,
// on another agent.
constexpr base::Millis kResumeTimeout = base::Seconds(30);

Error NoBackendAnswered() {
  return Error(ErrorKind::kUnavailable,
               "the backend servers tried did not answer",
               "send the request again");
}

}  // namespace

void CallLifecycle::Admit(Call& call) {
  if (call.attempts > 0 && !CanRetry(call)) {
    Refuse(call, NoBackendAnswered(), kRetryAfter);
    return;
  }
  if (!WithinLimits(call) || !DependenciesAvailable(call)) {
    return;
  }
  if (call.agent.empty() && (call.has_key || !PickAgent(call))) {
    const bool overloaded = call.pick_refusal.kind == ErrorKind::kOverloaded;
    Refuse(
        call,
        Error(call.pick_refusal.kind,
              overloaded ? "no backend server of " + call.service->id.value() +
                               " is expected to answer in time"
                         : "no backend server of " + call.service->id.value() +
                               " can be reached",
              "send the request again"),
        call.pick_refusal.retry_after);
    return;
  }
  if (call.has_key && !call.request.repeatable) {
    Claim(call);
    return;
  }
  Reserve(call);
}

bool CallLifecycle::WithinLimits(Call& call) {
  if (call.admitted) {
    return true;
  }
  const auto refusal =
      context_.limits.Admit(context_.now, call.organisation->id,
                            call.organisation->max_requests_per_second,
                            call.organisation->max_concurrent);
  if (!refusal) {
    call.admitted = true;
    return true;
  }
  Refuse(call,
         Error(refusal->kind,
               "the organisation's request limit at this router is reached",
               "send the request again, or ask the operator for a higher "
               "limit"),
         refusal->retry_after);
  return false;
}

bool CallLifecycle::DependenciesAvailable(Call& call) {
  for (const base::ServiceId& needed : call.service->depends_on) {
    if (context_.membership.Usable(context_.now, needed).empty()) {
      Refuse(call,
             Error(ErrorKind::kDependencyDown,
                   call.service->id.value() + " needs " + needed.value() +
                       ", which is down",
                   "send the request again"),
             kRetryAfter);
      return false;
    }
  }
  return true;
}

bool CallLifecycle::PickAgent(Call& call) {
  std::vector<routing::Candidate> candidates;
  for (const membership::AgentView& agent :
       context_.membership.Usable(context_.now, call.service->id)) {
    if (agent.joined) {
      candidates.push_back(routing::Candidate{
          agent.incarnation, agent.data_centre, call.service->max_running});
    }
  }
  call.pick_request.prefix_blocks = call.request.prefix_blocks;
  call.pick_request.priority = call.traffic_class->priority;
  call.pick_request.deadline_in = call.deadline - context_.now;
  call.pick_request.prompt_tokens =
      call.request.prompt_tokens_bound / kBytesPerToken;
  call.pick_request.exclude = call.excluded_agents;
  call.agent = base::ProcessId();
  call.agent_incarnation = base::Incarnation();
  const routing::Pick pick =
      context_.picker.Choose(context_.now, call.pick_request, candidates);
  if (const auto* refusal = std::get_if<routing::PickRefusal>(&pick)) {
    call.pick_refusal = *refusal;
    return false;
  }
  call.agent_incarnation = std::get<routing::PickedAgent>(pick).agent;
  const auto view =
      context_.membership.Find(context_.now, call.agent_incarnation);
  call.agent = view ? view->process : base::ProcessId();
  return view.has_value();
}

void CallLifecycle::Claim(Call& call) {
  claims::ClaimRequested request;
  request.attempt = call.attempt;
  request.key = call.key;
  request.body_digest = call.body_digest;
  request.agent = call.agent_incarnation;
  request.replaces = call.claim_replaces;
  request.expires = context_.now + kBudgetOrClaimTimeout;
  EnterPhase(call, CallPhase::kClaiming, kBudgetOrClaimTimeout);
  context_.StepClaims(request);
}

void CallLifecycle::OnClaimWon(const claims::ClaimWon& won) {
  Call* call = FindByAttempt(won.attempt);
  if (call != nullptr && call->phase == CallPhase::kClaiming) {
    Reserve(*call);
  }
}

void CallLifecycle::OnClaimExists(const claims::ClaimExists& exists) {
  Call* call = FindByAttempt(exists.attempt);
  if (call == nullptr || call->phase != CallPhase::kClaiming) {
    return;
  }
  call->is_first_for_key = false;
  if (exists.claim.body_digest != call->body_digest) {
    call->is_first_for_key = true;
    call->registered_attempt = base::AttemptId();
    Refuse(*call,
           Error(ErrorKind::kKeyReused,
                 "the Idempotency-Key was used for another request",
                 "send each request with a key of its own"),
           base::Millis());
    return;
  }
  link::KeyOwner owner;
  owner.attempt = exists.claim.attempt;
  owner.agent_incarnation = exists.claim.agent;
  const auto view = context_.membership.Find(context_.now, exists.claim.agent);
  owner.agent = view ? view->process : base::ProcessId();
  call->replaces = call->attempt;
  FollowOwner(*call, owner);
}

void CallLifecycle::OnClaimUnavailable(
    const claims::ClaimUnavailable& unavailable) {
  Call* call = FindByAttempt(unavailable.attempt);
  if (call != nullptr && call->phase == CallPhase::kClaiming) {
    Refuse(*call, unavailable.error, unavailable.retry_after);
  }
}

void CallLifecycle::Reserve(Call& call) {
  const bool model = call.service->kind == config::ServiceKind::kModelPool;
  call.reservation =
      model ? call.request.prompt_tokens_bound + call.request.output_cap
            : call.service->call_cost;
  ledger::ReserveRequested request;
  request.attempt = call.attempt;
  request.budget = call.organisation->budget;
  request.amount = call.reservation;
  request.agents = {call.agent_incarnation};
  request.expires = context_.now + kBudgetOrClaimTimeout;
  call.reserved = true;
  EnterPhase(call, CallPhase::kReserving, kBudgetOrClaimTimeout);
  context_.StepBudgetManager(request);
}

void CallLifecycle::Start(Call& call) {
  const auto view =
      context_.membership.Find(context_.now, call.agent_incarnation);
  const bool usable =
      view && view->connected && !view->leaving &&
      context_.budget_manager.MaySpendAt(call.grant, call.agent_incarnation);
  if (!usable) {
    RetryOnAnotherAgent(call);
    return;
  }
  link::StartRun start;
  start.attempt = call.attempt;
  start.key = call.key;
  start.body_digest = call.body_digest;
  start.organisation = call.request.organisation;
  start.service = call.request.service;
  start.grant = call.grant;
  start.reserved = call.reservation;
  start.repeatable = call.request.repeatable;
  start.claimed = call.agent_incarnation;
  start.priority = call.traffic_class->priority;
  start.deadline_in =
      call.head_sent ? kResumeTimeout : call.deadline - context_.now;
  start.method = call.request.method;
  start.path = call.request.path;
  start.content_type = call.request.content_type;
  start.body = call.request.body;
  start.output_cap = call.request.output_cap;
  start.credit = CreditFor(call);
  const base::Tokens resumed = call.assembler ? call.assembler->tokens() : 0;
  call.assembler.emplace(call.key, call.attempt);
  if (call.request.stream && !call.answer.empty()) {
    start.answer_prefix = call.answer;
    start.resume_tokens = resumed;
    call.assembler->Resume(call.answer);
  }
  call.start_sent = true;
  call.counted_by_picker = true;
  ++call.attempts;
  context_.StepBudgetManager(
      ledger::RunStarted{call.attempt, call.agent_incarnation});
  context_.picker.OnStarted(context_.now, call.attempt, call.agent_incarnation,
                            call.pick_request);
  EnterPhase(call, CallPhase::kStarting, context_.options.reply_timeout);
  context_.Emit(SendMessage{view->connection, std::move(start)});
}

void CallLifecycle::OnAccepted(Call& call) {
  if (call.phase == CallPhase::kStarting) {
    EnterPhase(call, CallPhase::kRunning, base::Millis());
  }
}

void CallLifecycle::OnRefused(Call& call, const link::RunRefused& refused) {
  const bool awaited =
      call.owns_attempt && call.start_sent &&
      (call.phase == CallPhase::kStarting ||
       call.phase == CallPhase::kProbing || call.phase == CallPhase::kRunning);
  if (!awaited) {
    return;
  }
  if (call.counted_by_picker) {
    call.counted_by_picker = false;
    context_.picker.OnRefused(context_.now, call.attempt);
  }
  if (!call.caller_waits) {
    ReleaseAttempt(call);
    FinishCall(call);
    return;
  }
  if (!CanRetry(call)) {
    Refuse(call, Error(refused.kind, refused.message, refused.remedy),
           refused.retry_after);
    return;
  }
  RetryOnAnotherAgent(call);
}

bool CallLifecycle::CanRetry(const Call& call) const noexcept {
  return call.attempts < context_.options.max_attempts &&
         (call.head_sent || context_.now < call.deadline);
}

// Retries on another agent; nothing is billed for the current attempt.
void CallLifecycle::RetryOnAnotherAgent(Call& call) {
  ReleaseAttempt(call);
  if (!call.caller_waits) {
    FinishCall(call);
    return;
  }
  call.excluded_agents.push_back(call.agent_incarnation);
  if (!CanRetry(call) || !context_.retries.TryRetry()) {
    Refuse(call, NoBackendAnswered(), kRetryAfter);
    return;
  }
  call.replaces = call.attempt;
  call.claim_replaces = call.attempt;
  call.owns_attempt = true;
  call.start_sent = false;
  call.run_ended = false;
  if (!call.request.stream) {
    call.answer.clear();
  }
  BindAttempt(call, context_.NewAttempt());
  PickAgent(call);
  if (call.has_key) {
    Register(call, false);
    return;
  }
  Admit(call);
}

}  // namespace godwit::router
