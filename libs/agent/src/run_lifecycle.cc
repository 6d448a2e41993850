#include "run_lifecycle.h"

#include <algorithm>
#include <string>
#include <utility>

#include "agent/engine_answer.h"
#include "link/run_accepted.h"
#include "link/run_state.h"
#include "run_limits.h"
#include "stream/answer_buffer.h"

namespace godwit::agent {
namespace {

using base::Error;
using base::ErrorKind;

bool IsValid(const link::StartRun& start) noexcept {
  return !start.attempt.empty() && !start.grant.empty() &&
         start.reserved >= 0 && start.reserved <= kMaxReserved &&
         start.output_cap >= 0 && start.resume_tokens >= 0 && start.credit >= 0;
}

// Returns `now` plus `span`, saturated, because values received from peers can
// be huge. A `span` that is not positive yields `now`.
base::Millis After(base::Millis now, base::Millis span) noexcept {
  if (span <= base::Millis()) {
    return now;
  }
  return base::Millis(SaturatingAdd(now.count(), span.count()));
}

}  // namespace

RunLifecycle::RunLifecycle(const AgentOptions& options,
                           GrantAccounts& accounts,
                           Delivery& delivery,
                           std::vector<AgentCommand>& commands)
    : options_(options),
      accounts_(accounts),
      delivery_(delivery),
      commands_(commands),
      queue_(options.ageing) {}

void RunLifecycle::OnStart(base::Millis now,
                           link::ConnectionId from,
                           link::StartRun start) {
  if (const Run* known = Find(start.attempt)) {
    ReplyToRepeatedStart(from, *known);
    return;
  }
  const auto refusal = CheckStart(now, start);
  Run& run = runs_[start.attempt];
  run.start = std::move(start);
  run.started_by = delivery_.PeerOf(from);
  run.deadline = After(now, run.start.deadline_in);
  run.resumes = !run.start.answer_prefix.empty();
  if (refusal) {
    run.stage = RunStage::kRefused;
    run.error = refusal->error;
    run.retry_after = refusal->retry_after;
    run.ended_at = now;
    run.start.body.clear();
    run.start.answer_prefix.clear();
    ended_.emplace_back(now, run.start.attempt);
    delivery_.SendOutcome(from, run);
    return;
  }
  if (run.start.resume_tokens == 0) {
    run.start.resume_tokens =
        EngineAnswer::CountTokens(run.start.answer_prefix);
  }
  accounts_.Reserve(run.start.grant, run.start.reserved);
  active_.emplace(run.start.attempt, &run);
  delivery_.answers()
      .Open(run.start.attempt)
      .Append(run.start.answer_prefix, run.start.resume_tokens);
  run.readers[from] =
      Reader{static_cast<int64_t>(run.start.answer_prefix.size()),
             run.start.credit, false};
  queue_.Push(now, run.start.priority, run.start.attempt);
  delivery_.Send(from, link::RunAccepted{run.start.attempt});
  Dispatch(now);
}

std::optional<RunLifecycle::Refusal> RunLifecycle::CheckStart(
    base::Millis now,
    const link::StartRun& start) const {
  if (!IsValid(start)) {
    return Refusal{
        Error(ErrorKind::kInvalidArgument, "StartRun has a field out of range",
              "run the same release of godwitlatch on both processes"),
        base::Millis()};
  }
  if (leaving_) {
    return Refusal{Error(ErrorKind::kLeaving, "this agent is leaving",
                         "use another agent"),
                   base::Millis()};
  }
  if (accounts_.IsSealed(start.grant)) {
    return Refusal{
        Error(ErrorKind::kStale,
              "grant " + start.grant.value() + " is sealed at this agent",
              "read the ledger again and draw another grant"),
        base::Millis()};
  }
  if (!start.repeatable && start.claimed != options_.incarnation) {
    return Refusal{
        Error(ErrorKind::kStale, "the claim names another life of this agent",
              "claim the request again for the present life"),
        base::Millis()};
  }
  if (start.deadline_in <= base::Millis()) {
    return Refusal{Error(ErrorKind::kDeadlineExceeded,
                         "the deadline passed before the run could start",
                         "send the request again with more time"),
                   base::Millis()};
  }
  return CheckLoad(now, start);
}

std::optional<RunLifecycle::Refusal> RunLifecycle::CheckLoad(
    base::Millis now,
    const link::StartRun& start) const {
  if (running_ + queue_.size() < options_.max_running) {
    return std::nullopt;
  }
  const int64_t ahead = queue_.CountBefore(now, start.priority);
  const base::Millis wait = estimate_.EstimateWait(ahead, options_.max_running);
  if (queue_.size() < options_.max_queued && wait < start.deadline_in) {
    return std::nullopt;
  }
  return Refusal{
      Error(ErrorKind::kOverloaded,
            "the backend server is not expected to answer in time: " +
                std::to_string(queue_.size()) + " runs wait, about " +
                std::to_string(wait.count()) + " ms",
            "send the request again later or use another agent"),
      std::max(wait, kMinRetryAfter)};
}

void RunLifecycle::ReplyToRepeatedStart(link::ConnectionId from,
                                        const Run& run) {
  if (run.stage == RunStage::kRefused) {
    delivery_.SendOutcome(from, run);
  } else if (run.ended()) {
    delivery_.SendState(from, run);
  } else {
    delivery_.Send(from, link::RunAccepted{run.start.attempt});
  }
}

void RunLifecycle::OnAttach(base::Millis now,
                            link::ConnectionId from,
                            const link::AttachRun& attach) {
  const auto found = runs_.find(attach.attempt);
  if (found == runs_.end()) {
    link::RunState unknown;
    unknown.attempt = attach.attempt;
    delivery_.Send(from, std::move(unknown));
    return;
  }
  Run& run = found->second;
  if (run.stage == RunStage::kRefused) {
    delivery_.SendOutcome(from, run);
    return;
  }
  const stream::AnswerBuffer* answer = delivery_.answers().Find(attach.attempt);
  const bool beyond = answer != nullptr && attach.offset > answer->length();
  if (run.start.key != attach.key || attach.offset < 0 || attach.credit < 0 ||
      beyond) {
    link::RunState unknown;
    unknown.attempt = attach.attempt;
    delivery_.Send(from, std::move(unknown));
    return;
  }
  active_.emplace(attach.attempt, &run);
  delivery_.Attach(run, from, attach);
  Retire(now);
}

void RunLifecycle::OnCredit(link::ConnectionId from,
                            const link::AddCredit& credit) {
  const auto found = runs_.find(credit.attempt);
  if (found == runs_.end() || credit.bytes <= 0) {
    return;
  }
  Run& run = found->second;
  const auto reader = run.readers.find(from);
  if (reader == run.readers.end()) {
    return;
  }
  reader->second.credit = SaturatingAdd(reader->second.credit, credit.bytes);
  delivery_.SendAvailable(run);
}

void RunLifecycle::OnCancel(base::Millis now,
                            link::ConnectionId from,
                            const base::AttemptId& attempt) {
  const auto found = runs_.find(attempt);
  if (found == runs_.end() || found->second.ended()) {
    return;
  }
  Run& run = found->second;
  const Error cancelled(ErrorKind::kCancelled, "the caller went away",
                        "send the request again");
  if (run.stage == RunStage::kQueued) {
    Refuse(now, run, Refusal{cancelled, base::Millis()});
    return;
  }
  const bool has_other_readers = run.readers.size() > run.readers.count(from);
  if (!run.start.repeatable || has_other_readers) {
    delivery_.Detach(now, run, from);
    return;
  }
  const stream::AnswerBuffer* answer = delivery_.answers().Find(attempt);
  const base::Tokens generated = answer == nullptr ? 0 : answer->tokens();
  CancelBackendCall(run);
  Fail(now, run, cancelled, std::min(generated, run.start.reserved));
}

void RunLifecycle::OnTombstone(base::Millis now,
                               link::ConnectionId from,
                               const base::AttemptId& attempt) {
  auto found = runs_.find(attempt);
  if (found == runs_.end()) {
    found = runs_.emplace(attempt, Run()).first;
    Run& run = found->second;
    run.start.attempt = attempt;
    run.stage = RunStage::kRefused;
    run.error = Error(ErrorKind::kCancelled,
                      "a router asked that the attempt never start",
                      "send the request again");
    run.ended_at = now;
    ended_.emplace_back(now, attempt);
  }
  delivery_.SendState(from, found->second);
}

void RunLifecycle::OnLinkDown(base::Millis now, link::ConnectionId connection) {
  for (const auto& [attempt, run] : active_) {
    delivery_.Detach(now, *run, connection);
  }
}

void RunLifecycle::OnSealed(base::Millis now, const base::GrantId& grant) {
  for (const auto& [attempt, run] : active_) {
    if (run->stage == RunStage::kQueued && run->start.grant == grant) {
      Refuse(now, *run,
             Refusal{Error(ErrorKind::kStale,
                           "grant " + grant.value() + " was sealed",
                           "send the request again"),
                     base::Millis()});
    }
  }
}

void RunLifecycle::SendEnds(link::ConnectionId to, const base::GrantId& grant) {
  for (const auto& [attempt, run] : runs_) {
    if (run.end && run.start.grant == grant) {
      delivery_.Send(to, *run.end);
    }
  }
}

void RunLifecycle::OnTick(base::Millis now) {
  RefuseExpired(now);
  CancelDetached(now);
  Dispatch(now);
  Retire(now);
  Expire(now);
}

bool RunLifecycle::IsDrained() const noexcept {
  return leaving_ && running_ == 0 && active_.empty();
}

const Run* RunLifecycle::Find(const base::AttemptId& attempt) const {
  const auto found = runs_.find(attempt);
  return found == runs_.end() ? nullptr : &found->second;
}

std::vector<base::AttemptId> RunLifecycle::open_runs() const {
  std::vector<base::AttemptId> open;
  for (const auto& [attempt, run] : active_) {
    if (!run->ended()) {
      open.push_back(attempt);
    }
  }
  return open;
}

Run* RunLifecycle::FindOpen(const base::AttemptId& attempt) {
  const auto found = runs_.find(attempt);
  const bool open = found != runs_.end() && found->second.backend_open &&
                    found->second.stage == RunStage::kRunning;
  return open ? &found->second : nullptr;
}

void RunLifecycle::Dispatch(base::Millis now) {
  while (running_ < options_.max_running) {
    const auto next = queue_.Pop();
    if (!next) {
      return;
    }
    Run& run = runs_.at(*next);
    if (run.deadline <= now) {
      Refuse(now, run,
             Refusal{Error(ErrorKind::kDeadlineExceeded,
                           "the deadline passed before the run could start",
                           "send the request again with more time"),
                     kMinRetryAfter});
      continue;
    }
    StartBackendCall(now, run);
  }
}

void RunLifecycle::StartBackendCall(base::Millis now, Run& run) {
  run.stage = RunStage::kRunning;
  run.started_at = now;
  run.backend_open = true;
  ++running_;
  CallBackend command{run.start.attempt, run.start};
  run.start.body.clear();
  run.start.body.shrink_to_fit();
  run.start.answer_prefix.clear();
  run.start.answer_prefix.shrink_to_fit();
  commands_.emplace_back(std::move(command));
}

void RunLifecycle::CloseBackend(base::Millis now, Run& run) {
  run.backend_open = false;
  run.backend_paused = false;
  --running_;
  estimate_.AddRunDuration(now - run.started_at);
}

}  // namespace godwit::agent
