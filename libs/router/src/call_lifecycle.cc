#include "call_lifecycle.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "config/lookup.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kNoDeadline(INT64_MAX);
// Backstop for budget and claims: the budget manager and the claim writer
// refuse on their own well before this.
constexpr base::Millis kBackstopTimeout = base::Seconds(10);

std::string_view PhaseName(CallPhase phase) noexcept {
  switch (phase) {
    case CallPhase::kRegistering:
      return "registering";
    case CallPhase::kReplanning:
      return "replanning";
    case CallPhase::kClaiming:
      return "claiming";
    case CallPhase::kReserving:
      return "reserving";
    case CallPhase::kStarting:
      return "starting";
    case CallPhase::kProbing:
      return "probing";
    case CallPhase::kRunning:
      return "running";
    case CallPhase::kConfirming:
      return "confirming";
  }
  return "unknown";
}

base::Digest DigestOfParts(std::initializer_list<std::string_view> parts) {
  std::string concatenated;
  for (const std::string_view part : parts) {
    concatenated.append(std::to_string(part.size())).append(":").append(part);
  }
  return base::Digest::Of(concatenated);
}

}  // namespace

CallLifecycle::CallLifecycle(Context& context) : context_(context) {}

void CallLifecycle::OnRequestReceived(CallerRequest request) {
  const ExchangeId exchange = request.exchange;
  Call& call = calls_[exchange];
  call.request = std::move(request);
  call.config = context_.config;
  call.service = config::FindService(*call.config, call.request.service);
  call.organisation =
      config::FindOrganisation(*call.config, call.request.organisation);
  call.traffic_class =
      config::FindClass(*call.config, call.request.traffic_class);
  call.arrived_at = context_.now;
  call.deadline = context_.now + call.traffic_class->deadline;
  call.has_key = !call.request.idempotency_key.empty();
  BindAttempt(call, context_.NewAttempt());
  const std::string& key =
      call.has_key ? call.request.idempotency_key : call.attempt.value();
  call.key = DigestOfParts({call.request.organisation.value(),
                            call.has_key ? "key" : "attempt", key});
  call.body_digest = DigestOfParts(
      {call.request.method, call.request.path, call.request.body});
  const bool may_outlast_stop =
      context_.stop_ends_at && call.deadline > *context_.stop_ends_at;
  if (context_.draining || may_outlast_stop) {
    Refuse(call,
           Error(ErrorKind::kLeaving, "this router is shutting down",
                 "send the request again; another router takes it"),
           base::Seconds(1));
    return;
  }
  context_.retries.OnRequest();
  if (call.has_key) {
    PickAgent(call);
    Register(call, false);
    return;
  }
  Admit(call);
}

void CallLifecycle::OnCallerDisconnected(ExchangeId exchange) {
  Call* call = Find(exchange);
  if (call == nullptr || !call->caller_waits) {
    return;
  }
  CloseCaller(*call, Outcome::kCallerDisconnected, ErrorKind::kCancelled);
  if (call->lost_attempt) {
    return;
  }
  if (!call->owns_attempt) {
    FinishCall(*call);
    return;
  }
  if (!call->start_sent) {
    ReleaseAttempt(*call);
    FinishCall(*call);
    return;
  }
  if (!call->has_key && call->request.repeatable && !call->run_ended) {
    context_.SendTo(call->agent_incarnation, link::CancelRun{call->attempt});
  }
}

void CallLifecycle::OnAnswerBytesConsumed(ExchangeId exchange, int64_t bytes) {
  Call* call = Find(exchange);
  if (call != nullptr && call->phase == CallPhase::kRunning) {
    context_.SendTo(call->agent_incarnation,
                    link::AddCredit{call->attempt, bytes});
  }
}

void CallLifecycle::OnMessage(const base::Incarnation& from,
                              const link::Message& message) {
  if (const auto* reply = std::get_if<link::KeyOwner>(&message)) {
    OnKeyOwner(from, *reply);
    return;
  }
  const auto for_each = [&](const base::AttemptId& attempt, auto&& handle) {
    for (const ExchangeId exchange : CallsForAttempt(attempt)) {
      Call* call = Find(exchange);
      if (call != nullptr && call->agent_incarnation == from) {
        handle(*call);
      }
    }
  };
  std::visit(
      [&](const auto& frame) {
        using Frame = std::decay_t<decltype(frame)>;
        if constexpr (std::is_same_v<Frame, link::RunAccepted>) {
          for_each(frame.attempt, [&](Call& call) { OnAccepted(call); });
        } else if constexpr (std::is_same_v<Frame, link::RunRefused>) {
          for_each(frame.attempt, [&](Call& call) { OnRefused(call, frame); });
        } else if constexpr (std::is_same_v<Frame, link::RunState>) {
          for_each(frame.attempt, [&](Call& call) { OnRunState(call, frame); });
        } else if constexpr (std::is_same_v<Frame, link::RunHead>) {
          for_each(frame.attempt, [&](Call& call) { OnHead(call, frame); });
        } else if constexpr (std::is_same_v<Frame, link::RunData>) {
          for_each(frame.attempt, [&](Call& call) { OnData(call, frame); });
        } else if constexpr (std::is_same_v<Frame, link::RunEnd>) {
          for_each(frame.attempt, [&](Call& call) { OnEnd(call, frame); });
        } else if constexpr (std::is_same_v<Frame, link::RunFailed>) {
          for_each(frame.attempt, [&](Call& call) { OnFailed(call, frame); });
        }
      },
      message);
}

void CallLifecycle::OnAgentLinked(const base::Incarnation& agent) {
  for (const ExchangeId exchange : UnfinishedCalls()) {
    Call* call = Find(exchange);
    if (call->registration && call->registration->target() != nullptr &&
        call->registration->target()->incarnation == agent) {
      QueryDirectory(*call);
      continue;
    }
    if (call->phase == CallPhase::kProbing &&
        call->agent_incarnation == agent) {
      SendProbe(*call);
    }
  }
}

void CallLifecycle::OnAgentUnlinked(const base::Incarnation& agent) {
  for (const ExchangeId exchange : UnfinishedCalls()) {
    Call* call = Find(exchange);
    const bool is_current_agent = call->agent_incarnation == agent &&
                                  (call->phase == CallPhase::kStarting ||
                                   call->phase == CallPhase::kRunning);
    if (is_current_agent) {
      ReleasePickerCount(*call, true);
      Probe(*call);
    }
  }
}

void CallLifecycle::OnAgentRemoved(const base::Incarnation& agent) {
  for (const ExchangeId exchange : UnfinishedCalls()) {
    Call* call = Find(exchange);
    const bool is_current_agent = call->agent_incarnation == agent &&
                                  (call->phase == CallPhase::kStarting ||
                                   call->phase == CallPhase::kRunning ||
                                   call->phase == CallPhase::kProbing);
    if (is_current_agent) {
      OnAttemptLost(*call);
    }
  }
}

void CallLifecycle::OnReserveGranted(const ledger::ReserveGranted& granted) {
  Call* call = FindByAttempt(granted.attempt);
  if (call == nullptr || call->phase != CallPhase::kReserving) {
    context_.StepBudgetManager(ledger::RunReleased{granted.attempt});
    return;
  }
  call->grant = granted.grant;
  Start(*call);
}

void CallLifecycle::OnReserveRefused(const ledger::ReserveRefused& refused) {
  Call* call = FindByAttempt(refused.attempt);
  if (call == nullptr || call->phase != CallPhase::kReserving) {
    return;
  }
  call->reserved = false;
  Refuse(*call, refused.error, refused.retry_after);
}

void CallLifecycle::OnTick() {
  for (const ExchangeId exchange : UnfinishedCalls()) {
    Call* call = Find(exchange);
    if (call->phase_deadline <= context_.now) {
      OnPhaseTimeout(*call);
    }
  }
}

void CallLifecycle::EnterPhase(Call& call,
                               CallPhase phase,
                               base::Millis timeout) {
  call.phase = phase;
  switch (phase) {
    case CallPhase::kRunning:
      call.phase_deadline = kNoDeadline;
      return;
    case CallPhase::kClaiming:
    case CallPhase::kReserving:
      call.phase_deadline = context_.now + kBackstopTimeout;
      return;
    default:
      call.phase_deadline = context_.now + timeout;
  }
}

size_t CallLifecycle::open_calls() const noexcept {
  return static_cast<size_t>(std::count_if(
      calls_.begin(), calls_.end(),
      [](const auto& entry) { return entry.second.caller_waits; }));
}

std::vector<OpenCall> CallLifecycle::OpenCalls() const {
  std::vector<OpenCall> result;
  result.reserve(calls_.size());
  for (const auto& [exchange, call] : calls_) {
    result.push_back(OpenCall{call.request.service, call.attempt,
                              call.agent_incarnation, PhaseName(call.phase),
                              call.caller_waits});
  }
  return result;
}

bool CallLifecycle::IsConfirming(
    const base::Incarnation& agent) const noexcept {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& entry) {
    const Call& call = entry.second;
    const bool confirming =
        call.phase == CallPhase::kConfirming && call.agent_incarnation == agent;
    const bool lost = call.lost_attempt && call.lost_attempt->agent == agent;
    return !call.finished && (confirming || lost);
  });
}

Call* CallLifecycle::Find(ExchangeId exchange) {
  const auto position = calls_.find(exchange);
  if (position == calls_.end() || position->second.finished) {
    return nullptr;
  }
  return &position->second;
}

Call* CallLifecycle::FindByAttempt(const base::AttemptId& attempt) {
  for (const ExchangeId exchange : CallsForAttempt(attempt)) {
    Call* call = Find(exchange);
    if (call != nullptr && call->owns_attempt) {
      return call;
    }
  }
  return nullptr;
}

std::vector<ExchangeId> CallLifecycle::CallsForAttempt(
    const base::AttemptId& attempt) const {
  std::vector<ExchangeId> result;
  const auto [begin, end] = by_attempt_.equal_range(attempt);
  for (auto at = begin; at != end; ++at) {
    result.push_back(at->second);
  }
  return result;
}

std::vector<ExchangeId> CallLifecycle::UnfinishedCalls() const {
  std::vector<ExchangeId> result;
  result.reserve(calls_.size());
  for (const auto& [exchange, call] : calls_) {
    if (!call.finished) {
      result.push_back(exchange);
    }
  }
  return result;
}

void CallLifecycle::BindAttempt(Call& call, const base::AttemptId& attempt) {
  UnbindAttempt(call);
  call.attempt = attempt;
  by_attempt_.emplace(attempt, call.request.exchange);
}

void CallLifecycle::UnbindAttempt(const Call& call) {
  const auto [begin, end] = by_attempt_.equal_range(call.attempt);
  for (auto at = begin; at != end; ++at) {
    if (at->second == call.request.exchange) {
      by_attempt_.erase(at);
      return;
    }
  }
}

}  // namespace godwit::router
