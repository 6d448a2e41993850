// Events of attempts at backend servers.
#include <algorithm>
#include <string>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

using Outcome = Placement::Outcome;

// Time for which a stream must go on until its content counts as harmless.
constexpr base::Millis kAnswerSettleTime(300);
// HTTP statuses: the lowest server error, those that callers take for the
// promise that a request was not run, "ok", and the range of successes.
constexpr int kServerError = 500;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;
constexpr int kSuccess = 200;
constexpr int kRedirect = 300;

// How an answer is treated: relayed to the caller, or retried if possible.
enum class AnswerClass : uint8_t {
  kGood,
  kFailed,
  kNotRun,
  // Says by its status that the request was not run, and does not state it.
  kUnstatedRefusal,
  kInstanceMismatch,
  kInvalid
};

bool IsSuccess(const Reply& reply) {
  return reply.status >= kSuccess && reply.status < kRedirect;
}

bool PromisesNotRun(const Reply& reply) {
  return reply.status == kRequestTimeout || reply.status == kTooManyRequests ||
         reply.status == kUnavailable;
}

AnswerClass ClassifyReply(const Reply& reply) {
  if (reply.instance_mismatch) {
    return AnswerClass::kInstanceMismatch;
  }
  // A request that one server rejects as invalid is invalid at any server, so
  // only these statuses are worth another attempt.
  if (reply.not_run &&
      (reply.status == kTooManyRequests || reply.status >= kServerError)) {
    return AnswerClass::kNotRun;
  }
  if (IsSuccess(reply) && !reply.is_signed) {
    return AnswerClass::kInvalid;
  }
  if (PromisesNotRun(reply) && !reply.not_run) {
    return AnswerClass::kUnstatedRefusal;
  }
  return reply.status >= kServerError ? AnswerClass::kFailed
                                      : AnswerClass::kGood;
}

// Whether the answer may follow what the caller has received of a stream.
bool IsContinuation(const Call& call, const Reply& reply) {
  return reply.status == kOk && reply.media_type == call.media_type;
}

const char* ReasonText(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "no connection";
    case AttemptFailure::kLost:
      return "connection lost";
    case AttemptFailure::kDamaged:
      return "damaged answer";
    case AttemptFailure::kUnattributable:
      return "answer without an id";
    case AttemptFailure::kOutOfOrder:
      return "events out of order";
  }
  return "";
}

}  // namespace

void Dispatcher::State::On(const AttemptAnswered& event) {
  Call* const call = FindAttempt(event.call, event.attempt);
  if (call == nullptr) {
    return;
  }
  placement_.OnAnswered(now_, call->attempt, event.reply.load);
  call->attempt_begun = true;
  call->attempt_begun_at = now_;
  call->last_received_at = now_;
  call->progressed_at = now_;
  call->answer_status = event.reply.status;
  call->states_not_run = event.reply.not_run;
  ApplyStatements(*call, event.reply);
  const AnswerClass answer_class = ClassifyReply(event.reply);
  if (answer_class != AnswerClass::kInstanceMismatch) {
    NoteReceived(*call);
  }
  if (event.complete && IsSuccess(event.reply) &&
      answer_class == AnswerClass::kGood) {
    NoteSuccess(*call);
    run_times_.OnAnswered(now_, call->route->name, now_ - call->placed_at);
  }
  const std::string status = "status " + std::to_string(event.reply.status);
  const bool is_resumed = call->phase == Call::Phase::kRelaying;
  switch (answer_class) {
    case AnswerClass::kInstanceMismatch:
      Emit(directory_.MarkReplaced(call->backend.instance));
      CancelAndAbandon(*call, Outcome::kRefused, RunOutcome::kNotRun,
                       "wrong server, " + status);
      return;
    case AnswerClass::kNotRun:
      CancelAndAbandon(*call, Outcome::kRefused, RunOutcome::kNotRun,
                       "not run, " + status);
      return;
    case AnswerClass::kUnstatedRefusal:
      CancelAndAbandon(*call, Outcome::kFailed, RunOutcome::kMayHaveRun,
                       "not stated to be not run, " + status);
      return;
    case AnswerClass::kInvalid:
      CancelAndAbandon(*call, Outcome::kFailed, RunOutcome::kMayHaveRun,
                       "unsigned, " + status);
      return;
    case AnswerClass::kFailed:
      if (is_resumed) {
        CancelAndAbandon(*call, Outcome::kFailed, RunOutcome::kMayHaveRun,
                         "failed, " + status);
        return;
      }
      if (FailOver(*call, "failed, " + status)) {
        return;
      }
      break;
    case AnswerClass::kGood:
      break;
  }
  if (is_resumed && !IsContinuation(*call, event.reply)) {
    CancelAndAbandon(
        *call, Outcome::kFailed,
        event.reply.not_run ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun,
        "no continuation, " + status);
    return;
  }
  if (!is_resumed) {
    call->first_byte_at = now_;
    call->media_type = event.reply.media_type;
  }
  call->phase = Call::Phase::kRelaying;
  if (call->route->is_stream && !is_resumed && !event.complete) {
    call->software_version = call->backend.software_version;
    RecordOrigin(*call);
  }
  Emit(RelayAnswer{call->id, call->attempt, call->may_have_run});
  // A failure that is relayed to the caller was also a run, and is billed.
  call->may_have_run = true;
  if (event.complete) {
    const bool is_good = answer_class == AnswerClass::kGood;
    placement_.OnEnded(now_, call->attempt,
                       is_good ? Outcome::kServed : Outcome::kFailed);
    End(*call, is_good ? "answered" : "failed", status);
    ProcessQueues();
  }
}

void Dispatcher::State::CancelAndAbandon(Call& call,
                                         Outcome outcome,
                                         RunOutcome run_outcome,
                                         const std::string& reason) {
  Cancel(call, outcome);
  Abandon(call, run_outcome, reason);
}

void Dispatcher::State::On(const AttemptReceived& event) {
  Call* const call = FindAttempt(event.call, event.attempt);
  if (call == nullptr) {
    return;
  }
  placement_.OnProgressed(now_, call->attempt);
  NoteReceived(*call);
  if (!call->last_received_at || event.repeats_event) {
    call->progressed_at = now_;
  }
  call->last_received_at = now_;
}

void Dispatcher::State::On(const AttemptPaused& event) {
  Call* const call = FindAttempt(event.call, event.attempt);
  if (call == nullptr) {
    return;
  }
  call->is_paused = event.is_paused;
  placement_.OnPaused(now_, call->attempt, event.is_paused);
  if (!event.is_paused) {
    // What the server sent meanwhile is only read from now on.
    call->last_received_at = now_;
    call->progressed_at = now_;
  }
}

void Dispatcher::State::On(const AttemptProgressed& event) {
  Call* const call = FindAttempt(event.call, event.attempt);
  if (call == nullptr) {
    return;
  }
  placement_.OnProgressed(now_, call->attempt, event.events);
  NoteReceived(*call);
  call->last_received_at = now_;
  call->progressed_at = now_;
  // A server that is crashed by the content may still send the first events.
  if (now_ - call->attempt_begun_at >= kAnswerSettleTime) {
    NoteSuccess(*call);
  }
  if (call->events > 0) {
    call->longest_gap = std::max(call->longest_gap, now_ - call->last_event_at);
  }
  call->last_event_at = now_;
  call->events = event.events;
  call->last_event = event.last_event;
}

void Dispatcher::State::On(const AttemptEnded& event) {
  Call* const call = FindAttempt(event.call, event.attempt);
  if (call == nullptr) {
    return;
  }
  placement_.OnEnded(now_, call->attempt, Outcome::kServed);
  NoteReceived(*call);
  NoteSuccess(*call);
  run_times_.OnAnswered(now_, call->route->name, now_ - call->placed_at);
  End(*call, "answered", "whole");
  ProcessQueues();
}

void Dispatcher::State::On(const AttemptFailed& event) {
  Call* const call = FindAttempt(event.call, event.attempt);
  if (call == nullptr) {
    return;
  }
  const bool not_sent = event.failure == AttemptFailure::kNotSent;
  placement_.OnEnded(now_, call->attempt,
                     not_sent ? Outcome::kUnreachable : Outcome::kFailed);
  if (not_sent) {
    containment_.OnRefused(now_, call->backend.key(), call->attempt_started_at);
  } else if (event.failure == AttemptFailure::kLost ||
             event.failure == AttemptFailure::kDamaged) {
    NoteLost(*call);
  }
  Abandon(*call, not_sent ? RunOutcome::kNotArrived : RunOutcome::kMayHaveRun,
          ReasonText(event.failure));
  ProcessQueues();
}

Call* Dispatcher::State::FindAttempt(CallId id, int64_t attempt) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->attempt != attempt) {
    return nullptr;
  }
  return found->second.get();
}

}  // namespace godwit::dispatch
