#include <algorithm>
#include <utility>
#include <vector>

#include "call_lifecycle.h"
#include "claims/plan_directory.h"
#include "context.h"
#include "membership/fleet_record.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kRetryAfter = base::Seconds(2);

claims::MemberState StateOf(membership::AgentState state) {
  switch (state) {
    case membership::AgentState::kActive:
      return claims::MemberState::kActive;
    case membership::AgentState::kLeaving:
      return claims::MemberState::kLeaving;
    case membership::AgentState::kRemoved:
      break;
  }
  return claims::MemberState::kRemoved;
}

std::vector<claims::DirectoryMember> MembersOf(
    const membership::FleetRecord& record) {
  std::vector<claims::DirectoryMember> members;
  members.reserve(record.agents().size());
  for (const membership::FleetAgent& agent : record.agents()) {
    members.push_back(claims::DirectoryMember{
        agent.process, agent.incarnation, agent.data_centre,
        StateOf(agent.state), agent.joined_at, agent.removed_at});
  }
  return members;
}

}  // namespace

const std::vector<claims::DirectoryMember>& CallLifecycle::DirectoryMembers() {
  const int64_t version = context_.membership.version();
  if (version != directory_members_version_) {
    directory_members_version_ = version;
    directory_members_ = MembersOf(context_.membership.record());
  }
  return directory_members_;
}

void CallLifecycle::Register(Call& call, bool complete) {
  const claims::DirectoryPlan plan =
      claims::PlanDirectory(DirectoryMembers(), call.key, context_.wall);
  if (!plan.primary || plan.copies_lost) {
    const base::Millis wait =
        plan.copies_lost ? plan.copies_lost_until - context_.wall : kRetryAfter;
    OnDirectoryUnavailable(call, complete, wait);
    return;
  }
  link::RegisterKey request;
  request.key = call.key;
  request.body_digest = call.body_digest;
  request.attempt = call.attempt;
  request.agent = call.agent;
  request.agent_incarnation = call.agent_incarnation;
  request.replaces = call.replaces;
  request.complete = complete;
  request.may_have_run = call.may_have_run;
  request.billed = complete ? call.billed_tokens : 0;
  request.fleet_version = context_.membership.version();
  call.is_first_for_key = false;
  call.registration.emplace(plan, std::move(request),
                            call.pending_refusal.has_value());
  EnterPhase(call, complete ? CallPhase::kConfirming : CallPhase::kRegistering,
             context_.options.reply_timeout);
  QueryDirectory(call);
}

void CallLifecycle::OnDirectoryUnavailable(Call& call,
                                           bool complete,
                                           base::Millis wait) {
  const bool empty = context_.membership.record().agents().empty();
  const Error error(ErrorKind::kUnavailable,
                    empty ? "this router does not know the agents yet"
                          : "the agents that kept track of this request's key "
                            "are gone",
                    "send it again with the same Idempotency-Key");
  if (!complete && !call.lost_attempt) {
    Refuse(call, error, wait);
    return;
  }
  FailOutcomeUnknown(call, error, wait);
  if (!call.owns_attempt) {
    FinishCall(call);
    return;
  }
  EnterPhase(call, complete ? CallPhase::kConfirming : CallPhase::kRegistering,
             context_.options.reply_timeout);
}

void CallLifecycle::QueryDirectory(Call& call) {
  const claims::DirectoryMember* target = call.registration->target();
  if (target == nullptr) {
    OnRegistered(call);
    return;
  }
  if (!context_.SendTo(target->incarnation, call.registration->request())) {
    context_.RequestLink(target->process);
  }
}

void CallLifecycle::OnKeyOwner(const base::Incarnation& from,
                               const link::KeyOwner& reply) {
  Call* call = nullptr;
  for (const ExchangeId exchange : CallsForAttempt(reply.queried_attempt)) {
    Call* candidate = Find(exchange);
    if (candidate != nullptr && candidate->registration) {
      call = candidate;
    }
  }
  if (call == nullptr) {
    return;
  }
  switch (call->registration->OnReply(from, reply)) {
    case RegistrationStatus::kIgnored:
      return;
    case RegistrationStatus::kContinue:
      QueryDirectory(*call);
      return;
    case RegistrationStatus::kDone:
      OnRegistered(*call);
      return;
    case RegistrationStatus::kOwned:
      OnOwnedByOther(*call);
      return;
    case RegistrationStatus::kStale:
      AwaitFleetVersion(*call, reply.fleet_version);
      return;
  }
}

void CallLifecycle::AwaitFleetVersion(Call& call, int64_t version) {
  const bool complete = call.registration->request().complete;
  call.registration.reset();
  if (context_.membership.version() >= version) {
    Register(call, complete);
    return;
  }
  context_.RefreshFleet();
  EnterPhase(call, complete ? CallPhase::kConfirming : CallPhase::kReplanning,
             context_.options.reply_timeout);
}

void CallLifecycle::OnFleetChanged() {
  for (const ExchangeId exchange : UnfinishedCalls()) {
    Call* call = Find(exchange);
    const bool waits = call->phase == CallPhase::kReplanning ||
                       call->phase == CallPhase::kRegistering ||
                       call->phase == CallPhase::kConfirming;
    if (waits) {
      Register(*call, call->phase == CallPhase::kConfirming);
    }
  }
}

void CallLifecycle::OnRegistered(Call& call) {
  const bool complete = call.registration->request().complete;
  call.may_have_run = call.may_have_run || call.registration->may_have_run();
  call.registration.reset();
  if (complete) {
    Deliver(call);
    return;
  }
  call.is_first_for_key = true;
  ResolveLostAttempt(call, link::KeyOwner());
  if (!call.caller_waits) {
    FinishCall(call);
    return;
  }
  call.registered_attempt = call.attempt;
  call.replaces = base::AttemptId();
  if (call.pending_refusal) {
    Refuse(call, call.pending_refusal->error,
           call.pending_refusal->retry_after);
    return;
  }
  Admit(call);
}

void CallLifecycle::OnOwnedByOther(Call& call) {
  const link::KeyOwner owner = call.registration->owner();
  ResolveLostAttempt(call, owner);
  RepairPrimary(call, owner);
  const bool complete = call.registration->request().complete;
  call.registration.reset();
  if (complete) {
    OnSuperseded(call);
    return;
  }
  if (owner.body_digest != call.body_digest) {
    // The key belongs to another request; this one did not run.
    call.is_first_for_key = true;
    call.registered_attempt = base::AttemptId();
    Refuse(call,
           Error(ErrorKind::kKeyReused,
                 "the Idempotency-Key was used for another request",
                 "send each request with a key of its own"),
           base::Millis());
    return;
  }
  call.registered_attempt = base::AttemptId();
  if (call.pending_refusal && owner.agent_incarnation.empty() &&
      !owner.may_have_run) {
    // Another call with the same key was refused in the meantime: nothing ran
    // for the key.
    call.is_first_for_key = true;
    Refuse(call, call.pending_refusal->error,
           call.pending_refusal->retry_after);
    return;
  }
  call.pending_refusal.reset();
  if (!call.caller_waits) {
    FinishCall(call);
    return;
  }
  FollowOwner(call, owner);
}

// Sends the owner reported by one copy to the copies that had accepted this
// attempt, so that all copies name the same owner.
void CallLifecycle::RepairPrimary(const Call& call,
                                  const link::KeyOwner& owner) {
  link::RegisterKey repair = call.registration->request();
  repair.replaces = call.attempt;
  repair.attempt = owner.attempt;
  repair.agent = owner.agent;
  repair.agent_incarnation = owner.agent_incarnation;
  repair.body_digest = owner.body_digest;
  repair.complete = owner.complete;
  repair.billed = owner.billed;
  repair.may_have_run = owner.may_have_run;
  repair.shadow = false;
  for (const claims::DirectoryMember& copy : call.registration->accepted()) {
    context_.SendTo(copy.incarnation, repair);
  }
}

void CallLifecycle::FollowOwner(Call& call, const link::KeyOwner& owner) {
  ReleaseAttempt(call);
  call.may_have_run = call.may_have_run || owner.may_have_run;
  if (call.head_sent) {
    OnSuperseded(call);
    return;
  }
  call.owns_attempt = false;
  call.assembler.reset();
  BindAttempt(call, owner.attempt);
  call.agent = owner.agent;
  call.agent_incarnation = owner.agent_incarnation;
  call.start_sent = false;
  if (owner.agent_incarnation.empty()) {
    TakeOverKey(call, false);
    return;
  }
  const auto* listed =
      context_.membership.record().Find(owner.agent_incarnation);
  const bool is_removed =
      listed == nullptr || listed->state == membership::AgentState::kRemoved;
  if (!is_removed) {
    Probe(call);
    return;
  }
  if (owner.complete) {
    FailOutcomeUnknown(
        call,
        Error(ErrorKind::kOutcomeUnknown,
              "the request was answered and billed, and its answer "
              "was lost with the agent that kept it",
              "send it as a new request if it may be repeated"),
        base::Millis());
    FinishCall(call);
    return;
  }
  OnAttemptLost(call);
}

}  // namespace godwit::router
