#include <algorithm>
#include <string>
#include <utility>

#include "run_lifecycle.h"
#include "run_limits.h"
#include "stream/answer_buffer.h"

namespace godwit::agent {
namespace {

using base::Error;
using base::ErrorKind;

}  // namespace

base::Tokens RunLifecycle::BillFor(const Run& run,
                                   const BackendEnd& event) const {
  if (options_.kind == config::ServiceKind::kPlain) {
    return run.head->status < kServerErrorStatus ? run.start.reserved : 0;
  }
  if (run.head->status >= kErrorStatus) {
    return 0;
  }
  const base::Tokens prompt = std::max<base::Tokens>(event.prompt_tokens, 0);
  const base::Tokens completion =
      std::max<base::Tokens>(event.completion_tokens, 0);
  return std::min(SaturatingAdd(prompt, completion), run.start.reserved);
}

void RunLifecycle::Complete(base::Millis now, Run& run, base::Tokens billed) {
  const stream::AnswerBuffer& answer =
      delivery_.answers().Open(run.start.attempt);
  link::RunEnd end;
  end.key = run.start.key;
  end.attempt = run.start.attempt;
  end.length = answer.length();
  end.digest = answer.digest();
  end.grant = run.start.grant;
  end.billed = billed;
  run.end = std::move(end);
  Settle(now, run, RunStage::kComplete, billed);
}

void RunLifecycle::Fail(base::Millis now,
                        Run& run,
                        base::Error error,
                        base::Tokens billed) {
  run.error = std::move(error);
  delivery_.answers().Drop(run.start.attempt);
  Settle(now, run, RunStage::kFailed, billed);
}

void RunLifecycle::Refuse(base::Millis now, Run& run, Refusal refusal) {
  queue_.Remove(run.start.attempt);
  run.error = std::move(refusal.error);
  run.retry_after = refusal.retry_after;
  delivery_.answers().Drop(run.start.attempt);
  Settle(now, run, RunStage::kRefused, 0);
}

void RunLifecycle::Settle(base::Millis now,
                          Run& run,
                          RunStage stage,
                          base::Tokens billed) {
  run.stage = stage;
  run.ended_at = now;
  run.billed = billed;
  run.start.body.clear();
  run.start.answer_prefix.clear();
  accounts_.Settle(run.start.grant, run.start.reserved, billed);
  ended_.emplace_back(now, run.start.attempt);
  delivery_.AnnounceEnd(run);
}

void RunLifecycle::CancelBackendCall(Run& run) {
  run.backend_paused = false;
  commands_.emplace_back(CancelBackend{run.start.attempt});
}

void RunLifecycle::RefuseExpired(base::Millis now) {
  for (const auto& [attempt, run] : active_) {
    if (run->stage == RunStage::kQueued && run->deadline <= now) {
      Refuse(now, *run,
             Refusal{Error(ErrorKind::kDeadlineExceeded,
                           "the deadline passed before the run could start",
                           "send the request again with more time"),
                     kMinRetryAfter});
    }
  }
}

void RunLifecycle::CancelDetached(base::Millis now) {
  const Error cancelled(ErrorKind::kCancelled,
                        "no router attached to the run in time",
                        "send the request again");
  for (const auto& [attempt, run] : active_) {
    const bool due = !run->ended() && run->readers.empty() &&
                     run->detached_at + options_.attach_grace <= now;
    if (!due) {
      continue;
    }
    if (run->stage == RunStage::kQueued) {
      Refuse(now, *run, Refusal{cancelled, base::Millis()});
    } else if (run->start.repeatable) {
      CancelBackendCall(*run);
      Fail(now, *run, cancelled, 0);
    }
  }
}

bool RunLifecycle::IsDeliveryFinished(base::Millis now,
                                      const Run& run) const noexcept {
  if (!run.ended()) {
    return false;
  }
  if (run.stage != RunStage::kComplete) {
    return true;
  }
  if (!run.readers.empty()) {
    return std::all_of(run.readers.begin(), run.readers.end(),
                       [](const auto& entry) { return entry.second.end_sent; });
  }
  const base::Millis since = std::max(run.detached_at, run.ended_at);
  return run.delivered || since + options_.attach_grace <= now;
}

// Ended runs whose answer was delivered are kept only to answer retries.
void RunLifecycle::Retire(base::Millis now) {
  for (auto at = active_.begin(); at != active_.end();) {
    const Run& run = *at->second;
    if (!IsDeliveryFinished(now, run)) {
      ++at;
      continue;
    }
    if (run.stage == RunStage::kComplete) {
      delivery_.answers().End(now, run.start.attempt);
    }
    at = active_.erase(at);
  }
}

void RunLifecycle::Expire(base::Millis now) {
  delivery_.answers().DropExpired(now);
  while (!ended_.empty() && ended_.front().first + options_.retention <= now) {
    const base::AttemptId attempt = ended_.front().second;
    ended_.pop_front();
    if (active_.count(attempt) != 0) {
      ended_.emplace_back(now, attempt);
      continue;
    }
    delivery_.answers().Drop(attempt);
    runs_.erase(attempt);
  }
}

}  // namespace godwit::agent
