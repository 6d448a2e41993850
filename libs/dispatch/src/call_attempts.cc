#include <algorithm>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

using Outcome = Placement::Outcome;

// Attempts beyond the route's maximum of runs, for servers that refused or
// could not be reached.
constexpr int64_t kMaxExtraAttempts = 3;
// Grace period after the deadline before the router sends a final answer: the
// server's own may be in flight.
constexpr base::Millis kFinalAnswerGrace(60);
// Least time to the deadline for which another attempt is started.
constexpr base::Millis kMinAttemptTime(30);
constexpr base::Millis kOverloadRetryAfter(250);
// A stream has stalled if it completes no event within this multiple of its
// event gap objective, and at least this time.
constexpr int64_t kStallMultiple = 8;
constexpr base::Millis kMinStallTime(2000);

std::vector<uint64_t> SharedParts(const Request& request) {
  return request.prompt ? request.prompt->SharedParts()
                        : std::vector<uint64_t>();
}

}  // namespace

PlacementRequest Dispatcher::State::MakePlacementRequest(
    const Call& call) const {
  PlacementRequest placement_request;
  placement_request.service = call.service;
  placement_request.prompt =
      call.request.prompt ? &*call.request.prompt : nullptr;
  placement_request.event_gap_objective = call.route->event_gap_objective;
  placement_request.latency_objective = call.route->latency_objective;
  if (const ServiceProfile* service = call.table->Find(call.service)) {
    placement_request.engine = service->engine;
  }
  placement_request.exclude = call.exclude;
  return placement_request;
}

void Dispatcher::State::Start(Call& call, const Choice& choice) {
  call.attempt = next_attempt_++;
  call.backend = choice.backend;
  call.attempt_started_at = now_;
  call.attempt_begun = false;
  call.attempt_succeeded = false;
  call.last_received_at.reset();
  call.is_paused = false;
  if (call.attempts_sent == 0) {
    call.placed_at = now_;
  }
  ++call.attempts_sent;
  ++call.possible_runs;
  if (call.phase != Call::Phase::kRelaying) {
    call.phase = Call::Phase::kAttempting;
  }
  limits_.OnSent(now_, call.backend);
  containment_.OnSent(call.contents);
  placement_.OnStarted(now_, call.attempt, call.backend,
                       MakePlacementRequest(call));
  StartAttempt start;
  start.call = call.id;
  start.attempt = call.attempt;
  start.backend = call.backend;
  start.expected = choice.expected;
  start.uncached = choice.uncached;
  start.input = call.request.prompt ? call.request.prompt->input_tokens : 0;
  start.reserved = call.reserved;
  start.time_left = std::max(base::Millis(1), call.answer_deadline - now_);
  start.urgency = call.urgency;
  start.organisation = call.organisation;
  start.is_stream = call.route->is_stream;
  start.is_resumable = call.route->repeat == RepeatRule::kResumable;
  start.resume_after =
      call.events > 0 ? call.last_event : call.request.resume_after;
  start.resumes = call.request.resumes;
  start.shared_parts = SharedParts(call.request);
  start.content = call.request.content;
  Emit(std::move(start));
}

bool Dispatcher::State::MayRunAgain(const Call& call) const {
  if (call.possible_runs >= call.route->max_attempts ||
      now_ + kMinAttemptTime > call.answer_deadline) {
    return false;
  }
  switch (call.route->repeat) {
    case RepeatRule::kIdempotent:
      return call.phase != Call::Phase::kRelaying;
    case RepeatRule::kResumable:
      // An answer that is no stream can't go on at another server.
      return call.phase != Call::Phase::kRelaying ||
             call.last_event.has_value();
    case RepeatRule::kAtMostOnce:
      return false;
  }
  return false;
}

bool Dispatcher::State::MaySendAgain(const Call& call) const {
  return call.attempts_sent < call.route->max_attempts + kMaxExtraAttempts &&
         now_ + kMinAttemptTime <= call.answer_deadline;
}

std::optional<Choice> Dispatcher::State::NextServer(Call& call,
                                                    RunOutcome run_outcome) {
  if (!MaySendAgain(call) || !MayEndBeforeStop(call) ||
      containment_.HasContained(now_, call.contents) ||
      MustWaitForDecision(call) ||
      (run_outcome == RunOutcome::kMayHaveRun && !MayRunAgain(call))) {
    return std::nullopt;
  }
  PlacementRequest placement_request = MakePlacementRequest(call);
  placement_request.exclude.push_back(call.backend.key());
  const Choice choice =
      placement_.Choose(now_, placement_request, OpenBackends(call));
  if (choice.kind != Choice::Kind::kPlaced) {
    return std::nullopt;
  }
  // A request that never arrived has loaded no server.
  if (run_outcome != RunOutcome::kNotArrived &&
      !RetryBudgetFor(call.service).TryRetry()) {
    return std::nullopt;
  }
  return choice;
}

void Dispatcher::State::CountAttemptEnd(Call& call, RunOutcome run_outcome) {
  if (run_outcome == RunOutcome::kMayHaveRun) {
    call.may_have_run = true;
  } else {
    --call.possible_runs;
  }
}

void Dispatcher::State::RecordAbandoned(const Call& call,
                                        const std::string& reason,
                                        const char* next) {
  AttemptAbandoned record;
  record.call = call.id;
  record.request_id = call.request.id;
  record.backend = call.backend.instance;
  record.reason = reason;
  record.next = next;
  record.since_start = now_ - call.attempt_started_at;
  record.had_begun = call.attempt_begun;
  record.shared_parts = SharedParts(call.request);
  record.content = call.request.content;
  Emit(std::move(record));
}

void Dispatcher::State::Replace(Call& call,
                                const Choice& next,
                                const std::string& reason) {
  RecordAbandoned(call, reason,
                  call.phase == Call::Phase::kRelaying ? "resume" : "again");
  call.exclude.push_back(call.backend.key());
  Start(call, next);
}

void Dispatcher::State::Cancel(const Call& call, Outcome outcome) {
  Emit(CancelAttempt{call.id, call.attempt});
  placement_.OnEnded(now_, call.attempt, outcome);
}

bool Dispatcher::State::FailOver(Call& call, const std::string& reason) {
  const auto next = NextServer(call, RunOutcome::kMayHaveRun);
  if (!next) {
    return false;
  }
  Cancel(call, Outcome::kFailed);
  CountAttemptEnd(call, RunOutcome::kMayHaveRun);
  Replace(call, *next, reason);
  return true;
}

void Dispatcher::State::Abandon(Call& call,
                                RunOutcome run_outcome,
                                const std::string& reason) {
  CountAttemptEnd(call, run_outcome);
  if (const auto next = NextServer(call, run_outcome)) {
    Replace(call, *next, reason);
    return;
  }
  call.attempt = 0;
  call.exclude.push_back(call.backend.key());
  const bool may_wait =
      run_outcome != RunOutcome::kMayHaveRun && !call.may_have_run &&
      !containment_.HasContained(now_, call.contents) &&
      call.phase != Call::Phase::kRelaying && MaySendAgain(call);
  if (may_wait) {
    RecordAbandoned(call, reason, "wait");
    Enqueue(call);
    return;
  }
  RecordAbandoned(call, reason, "give up");
  Finish(call, run_outcome, reason);
}

void Dispatcher::State::Finish(Call& call,
                               RunOutcome run_outcome,
                               const std::string& reason) {
  if (call.phase == Call::Phase::kRelaying) {
    Emit(AbortCall{call.id});
    End(call, "broken_off", reason);
    return;
  }
  if (run_outcome != RunOutcome::kMayHaveRun && !call.may_have_run) {
    if (containment_.HasContained(now_, call.contents)) {
      RefuseContained(call);
      return;
    }
    Refuse(call, base::ErrorKind::kOverloaded, reason, kOverloadRetryAfter);
    return;
  }
  Refuse(call, base::ErrorKind::kOutcomeUnknown, reason, base::Millis());
}

void Dispatcher::State::CheckResponsiveness(Call& call) {
  if (call.attempt == 0 || call.is_paused) {
    return;
  }
  if (HasStalled(call)) {
    if (!FailOver(call, "stalled")) {
      EndStalled(call);
    }
  } else if (placement_.IsUnresponsive(now_, call.attempt) &&
             !IsWithinPause(call)) {
    FailOver(call, "silent");
  }
}

bool Dispatcher::State::IsWithinPause(const Call& call) const {
  return call.route->is_stream && call.last_received_at &&
         now_ - *call.last_received_at <= call.route->event_gap_objective;
}

bool Dispatcher::State::HasStalled(const Call& call) const {
  return call.route->is_stream && call.last_received_at &&
         now_ - call.progressed_at >
             std::max(kMinStallTime,
                      call.route->event_gap_objective * kStallMultiple);
}

void Dispatcher::State::EndStalled(Call& call) {
  Cancel(call, Outcome::kFailed);
  call.may_have_run = true;
  Finish(call, RunOutcome::kMayHaveRun, "the stream stalled");
}

void Dispatcher::State::CheckTime(Call& call) {
  switch (call.phase) {
    case Call::Phase::kAwaitingOrigin:
      CheckOrigin(call);
      return;
    case Call::Phase::kAwaitingBudget:
      if (now_ >= call.answer_deadline) {
        Refuse(call, base::ErrorKind::kBudgetUnavailable,
               "the deadline passed while the budget was asked",
               base::Millis());
      }
      return;
    case Call::Phase::kAwaitingSlot:
      if (now_ + placement_.TypicalFirstByteTime(call.service) >=
          call.answer_start_deadline) {
        Refuse(call, base::ErrorKind::kOverloaded,
               "no place came free before the deadline",
               CapacityRetryAfter(call));
      }
      return;
    case Call::Phase::kAttempting:
    case Call::Phase::kRelaying:
      break;
  }
  if (now_ < call.answer_deadline + kFinalAnswerGrace) {
    CheckResponsiveness(call);
    return;
  }
  Cancel(call, Outcome::kCancelled);
  call.may_have_run = true;
  if (call.phase == Call::Phase::kRelaying) {
    Emit(AbortCall{call.id});
    End(call, "broken_off", "the deadline passed");
    return;
  }
  Refuse(call, base::ErrorKind::kDeadlineExceeded,
         "the server did not answer before the deadline", base::Millis());
}

}  // namespace godwit::dispatch
