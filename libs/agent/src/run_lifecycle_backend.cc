// Events of the backend server's answers.
#include <algorithm>
#include <cctype>
#include <string>

#include "run_lifecycle.h"
#include "run_limits.h"
#include "stream/answer_buffer.h"

namespace godwit::agent {
namespace {

using base::Error;
using base::ErrorKind;

constexpr int kOkStatus = 200;
constexpr char kEventStreamType[] = "text/event-stream";

// Whether the answer may follow what the caller has received of a stream.
bool IsContinuation(const BackendHead& head) {
  std::string type = head.content_type.substr(0, head.content_type.find(';'));
  type.erase(type.find_last_not_of(" \t") + 1);
  std::transform(type.begin(), type.end(), type.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return head.status == kOkStatus && type == kEventStreamType;
}

}  // namespace

void RunLifecycle::OnHead(base::Millis now, const BackendHead& event) {
  Run* run = FindOpen(event.attempt);
  if (run == nullptr || run->head) {
    return;
  }
  const bool is_failure = options_.kind == config::ServiceKind::kModelPool &&
                          event.status >= kServerErrorStatus;
  if (is_failure || (run->resumes && !IsContinuation(event))) {
    CancelBackendCall(*run);
    Fail(now, *run,
         Error(ErrorKind::kBackendFailed,
               "the engine answered with status " +
                   std::to_string(event.status) +
                   (is_failure ? "" : ", which continues no stream"),
               "send the request again"),
         0);
    return;
  }
  run->head = link::RunHead{run->start.key, event.attempt, event.status,
                            event.content_type};
  delivery_.SendToReaders(*run, *run->head);
  delivery_.SendAvailable(*run);
}

void RunLifecycle::OnData(const BackendData& event) {
  Run* run = FindOpen(event.attempt);
  if (run == nullptr || !run->head) {
    return;
  }
  delivery_.answers()
      .Open(event.attempt)
      .Append(event.bytes, std::max<base::Tokens>(event.tokens, 0));
  delivery_.SendAvailable(*run);
}

void RunLifecycle::OnEnd(base::Millis now, const BackendEnd& event) {
  const auto found = runs_.find(event.attempt);
  if (found == runs_.end() || !found->second.backend_open) {
    return;
  }
  Run& run = found->second;
  CloseBackend(now, run);
  if (run.stage == RunStage::kRunning) {
    if (run.resumes && !event.has_final_event) {
      Fail(now, run,
           Error(ErrorKind::kBackendFailed,
                 "the engine ended a stream before its last event",
                 "send the request again"),
           0);
    } else if (run.head) {
      Complete(now, run, BillFor(run, event));
    } else {
      Fail(now, run,
           Error(ErrorKind::kBackendFailed,
                 "the backend server's answer has no status",
                 "send the request again"),
           0);
    }
  }
  Dispatch(now);
}

void RunLifecycle::OnFailed(base::Millis now, const BackendFailed& event) {
  const auto found = runs_.find(event.attempt);
  if (found == runs_.end() || !found->second.backend_open) {
    return;
  }
  Run& run = found->second;
  CloseBackend(now, run);
  if (run.stage == RunStage::kRunning) {
    const Error error(event.kind, event.message, "send the request again");
    if (event.sent || run.head) {
      Fail(now, run, error, 0);
    } else {
      Refuse(now, run, Refusal{error, kMinRetryAfter});
    }
  }
  Dispatch(now);
}

}  // namespace godwit::agent
