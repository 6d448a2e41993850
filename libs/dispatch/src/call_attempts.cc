#include <algorithm>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

using Outcome = Placement::Outcome;

// Tries beyond those that a route allows to run, for servers that refused or
// could not be reached.
constexpr int64_t kExtraSends = 3;
// A final answer is due this long after the deadline at the latest: the
// server's own may be on its way.
constexpr base::Millis kFinalSlack(60);
// A further try needs this much time to be of use.
constexpr base::Millis kLeastTryTime(30);
constexpr base::Millis kOverloadRetry(250);

}  // namespace

Work Dispatcher::State::WorkOf(const Call& call) const {
  Work work;
  work.service = call.service;
  work.prompt = call.request.prompt ? &*call.request.prompt : nullptr;
  work.event_gap_objective = call.route->event_gap_objective;
  work.exclude = call.exclude;
  return work;
}

void Dispatcher::State::Start(Call& call, const Choice& choice) {
  call.attempt = next_attempt_++;
  call.backend = choice.backend;
  call.attempt_started_at = now_;
  if (call.sends == 0) {
    call.placed_at = now_;
  }
  ++call.sends;
  ++call.runs;
  if (call.phase != Call::Phase::kRelaying) {
    call.phase = Call::Phase::kAttempting;
  }
  placement_.Started(now_, call.attempt, call.backend, WorkOf(call));
  StartAttempt start;
  start.call = call.id;
  start.attempt = call.attempt;
  start.backend = call.backend;
  start.expected = choice.expected;
  start.uncached = choice.uncached;
  start.time_left = std::max(base::Millis(1), call.ends_at - now_);
  start.urgency = call.urgency;
  start.organisation = call.organisation;
  start.is_stream = call.route->is_stream;
  start.resume_after =
      call.events > 0 ? call.last_event : call.request.resume_after;
  Emit(std::move(start));
}

bool Dispatcher::State::MayRunAgain(const Call& call) const {
  if (call.runs >= call.route->max_attempts ||
      now_ + kLeastTryTime > call.ends_at) {
    return false;
  }
  switch (call.route->repeat) {
    case RepeatRule::kIdempotent:
      return call.phase != Call::Phase::kRelaying;
    case RepeatRule::kResumable:
      return call.events == 0 || call.last_event.has_value();
    case RepeatRule::kAtMostOnce:
      return false;
  }
  return false;
}

bool Dispatcher::State::MaySendAgain(const Call& call) const {
  return call.sends < call.route->max_attempts + kExtraSends &&
         now_ + kLeastTryTime <= call.ends_at;
}

std::optional<Choice> Dispatcher::State::NextServer(Call& call, Fate fate) {
  if (!MaySendAgain(call) ||
      (fate == Fate::kMayHaveRun && !MayRunAgain(call))) {
    return std::nullopt;
  }
  Work work = WorkOf(call);
  work.exclude.push_back(call.backend.key());
  const Choice choice =
      placement_.Choose(now_, work, directory_.Usable(call.service));
  if (choice.kind != Choice::Kind::kPlaced) {
    return std::nullopt;
  }
  // A request that never arrived costs no server anything.
  if (fate != Fate::kNotArrived && !RetriesOf(call.service).TryRetry()) {
    return std::nullopt;
  }
  return choice;
}

void Dispatcher::State::CountEnd(Call& call, Fate fate) {
  if (fate == Fate::kMayHaveRun) {
    call.may_have_run = true;
  } else {
    --call.runs;
  }
}

void Dispatcher::State::Record(const Call& call,
                               const std::string& reason,
                               const char* next) {
  AttemptAbandoned record;
  record.call = call.id;
  record.request_id = call.request.id;
  record.backend = call.backend.instance;
  record.reason = reason;
  record.next = next;
  record.since_start = now_ - call.attempt_started_at;
  Emit(std::move(record));
}

void Dispatcher::State::Replace(Call& call,
                                const Choice& next,
                                const std::string& reason) {
  Record(call, reason,
         call.phase == Call::Phase::kRelaying ? "resume" : "again");
  call.exclude.push_back(call.backend.key());
  Start(call, next);
}

void Dispatcher::State::Cancel(const Call& call, Outcome outcome) {
  Emit(CancelAttempt{call.id, call.attempt});
  placement_.Ended(now_, call.attempt, outcome);
}

bool Dispatcher::State::RunElsewhere(Call& call, const std::string& reason) {
  const auto next = NextServer(call, Fate::kMayHaveRun);
  if (!next) {
    return false;
  }
  Cancel(call, Outcome::kFailed);
  CountEnd(call, Fate::kMayHaveRun);
  Replace(call, *next, reason);
  return true;
}

void Dispatcher::State::Abandon(Call& call,
                                Fate fate,
                                const std::string& reason) {
  CountEnd(call, fate);
  if (const auto next = NextServer(call, fate)) {
    Replace(call, *next, reason);
    return;
  }
  call.attempt = 0;
  call.exclude.push_back(call.backend.key());
  const bool may_wait = fate != Fate::kMayHaveRun && !call.may_have_run &&
                        call.phase != Call::Phase::kRelaying &&
                        MaySendAgain(call);
  if (may_wait) {
    Record(call, reason, "wait");
    Wait(call);
    return;
  }
  Record(call, reason, "give up");
  Finish(call, fate, reason);
}

void Dispatcher::State::Finish(Call& call,
                               Fate fate,
                               const std::string& reason) {
  if (call.phase == Call::Phase::kRelaying) {
    Emit(AbortCall{call.id});
    End(call, "broken_off", reason);
    return;
  }
  if (fate != Fate::kMayHaveRun && !call.may_have_run) {
    Refuse(call, base::ErrorKind::kOverloaded, reason, kOverloadRetry);
    return;
  }
  Refuse(call, base::ErrorKind::kOutcomeUnknown, reason, base::Millis());
}

void Dispatcher::State::CheckSilence(Call& call) {
  if (call.attempt != 0 && placement_.IsSilent(now_, call.attempt)) {
    RunElsewhere(call, "silent");
  }
}

void Dispatcher::State::CheckTime(Call& call) {
  switch (call.phase) {
    case Call::Phase::kAwaitsBudget:
      if (now_ >= call.ends_at) {
        Refuse(call, base::ErrorKind::kBudgetUnavailable,
               "the deadline passed while the budget was asked",
               base::Millis());
      }
      return;
    case Call::Phase::kAwaitsPlace:
      if (now_ + placement_.UsualFirstByte(call.service) >=
          call.patience_ends_at) {
        Refuse(call, base::ErrorKind::kOverloaded,
               "no place came free before the deadline", kOverloadRetry);
      }
      return;
    case Call::Phase::kAttempting:
    case Call::Phase::kRelaying:
      break;
  }
  if (now_ < call.ends_at + kFinalSlack) {
    CheckSilence(call);
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
