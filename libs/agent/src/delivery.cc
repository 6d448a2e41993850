#include "delivery.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "link/run_data.h"
#include "link/run_failed.h"
#include "link/run_refused.h"
#include "link/run_state.h"
#include "stream/answer_buffer.h"

namespace godwit::agent {
namespace {

// Pieces of an answer are joined up to this length.
constexpr int64_t kMaxJoinedBytes = int64_t{64} * 1024;

link::RunFailed MakeFailed(const Run& run, const base::Error& error) {
  link::RunFailed failed;
  failed.key = run.start.key;
  failed.attempt = run.start.attempt;
  failed.kind = error.kind();
  failed.message = error.message();
  failed.remedy = error.remedy();
  failed.grant = run.start.grant;
  failed.billed = run.billed;
  return failed;
}

link::RunRefused MakeRefused(const Run& run) {
  link::RunRefused refused;
  refused.attempt = run.start.attempt;
  refused.kind = run.error.kind();
  refused.message = run.error.message();
  refused.remedy = run.error.remedy();
  refused.retry_after = run.retry_after;
  return refused;
}

base::Error AnswerDropped() {
  return base::Error(base::ErrorKind::kOutcomeUnknown,
                     "the run is complete, but its answer is not kept any more",
                     "find out at the service before sending it as a new "
                     "request");
}

}  // namespace

Delivery::Delivery(const AgentOptions& options,
                   std::vector<AgentCommand>& commands)
    : options_(options),
      commands_(commands),
      answers_(options.retention, options.answer_limit_bytes) {}

void Delivery::AddLink(link::ConnectionId connection,
                       const base::Incarnation& peer) {
  links_[connection] = peer;
}

void Delivery::RemoveLink(link::ConnectionId connection) {
  links_.erase(connection);
}

bool Delivery::HasLink(link::ConnectionId connection) const {
  return links_.count(connection) != 0;
}

base::Incarnation Delivery::PeerOf(link::ConnectionId connection) const {
  const auto found = links_.find(connection);
  return found == links_.end() ? base::Incarnation() : found->second;
}

void Delivery::Send(link::ConnectionId connection, link::Message message) {
  if (connection != kNoConnection) {
    commands_.emplace_back(SendMessage{connection, std::move(message)});
  }
}

void Delivery::SendState(link::ConnectionId connection, const Run& run) {
  link::RunState state;
  state.attempt = run.start.attempt;
  state.phase = PhaseOf(run.stage);
  if (run.ended()) {
    state.grant = run.start.grant;
    state.billed = run.billed;
  }
  Send(connection, std::move(state));
}

void Delivery::Attach(Run& run,
                      link::ConnectionId connection,
                      const link::AttachRun& attach) {
  run.stream = connection;
  run.sent_offset = attach.offset;
  run.credit = attach.credit;
  run.end_sent = false;
  if (run.head) {
    Send(connection, *run.head);
  }
  if (run.stage == RunStage::kFailed || run.stage == RunStage::kRefused) {
    SendOutcome(connection, run);
    return;
  }
  Pump(run);
}

void Delivery::Detach(base::Millis now, Run& run) {
  run.stream = kNoConnection;
  run.detached_at = now;
  Throttle(run, 0);
}

void Delivery::Pump(Run& run) {
  if (run.stream == kNoConnection || run.end_sent || !run.head) {
    return;
  }
  const stream::AnswerBuffer* answer = answers_.Find(run.start.attempt);
  if (answer == nullptr) {
    if (run.stage == RunStage::kComplete) {
      run.end_sent = true;
      Send(run.stream, MakeFailed(run, AnswerDropped()));
    }
    return;
  }
  SendPieces(run, *answer);
  if (run.end && run.sent_offset >= run.end->length) {
    run.end_sent = true;
    Send(run.stream, *run.end);
  }
  Throttle(run, answer->length() - run.sent_offset);
}

// Sends whole pieces only, so that what a router has of a model's answer always
// ends between two events; the last piece may exceed the credit.
void Delivery::SendPieces(Run& run, const stream::AnswerBuffer& answer) {
  while (run.credit > 0) {
    const std::string_view piece =
        answer.Read(run.sent_offset, std::min(run.credit, kMaxJoinedBytes));
    if (piece.empty()) {
      return;
    }
    link::RunData data;
    data.key = run.start.key;
    data.attempt = run.start.attempt;
    data.offset = run.sent_offset;
    data.bytes = std::string(piece);
    run.sent_offset += static_cast<int64_t>(piece.size());
    run.credit -= static_cast<int64_t>(piece.size());
    data.tokens = answer.TokensBefore(run.sent_offset);
    Send(run.stream, std::move(data));
  }
}

void Delivery::Throttle(Run& run, int64_t waiting_bytes) {
  if (!run.backend_open) {
    return;
  }
  const bool pause = run.backend_paused
                         ? waiting_bytes > options_.pause_bytes / 2
                         : waiting_bytes >= options_.pause_bytes;
  if (pause == run.backend_paused) {
    return;
  }
  run.backend_paused = pause;
  if (pause) {
    commands_.emplace_back(PauseBackend{run.start.attempt});
  } else {
    commands_.emplace_back(ResumeBackend{run.start.attempt});
  }
}

void Delivery::AnnounceEnd(Run& run) {
  const bool complete = run.stage == RunStage::kComplete;
  const bool starter_attached = PeerOf(run.stream) == run.starter;
  for (const auto& [connection, peer] : links_) {
    if (connection == run.stream || peer != run.starter ||
        (complete && starter_attached)) {
      continue;
    }
    SendOutcome(connection, run);
  }
  if (complete) {
    Pump(run);
    return;
  }
  run.end_sent = true;
  SendOutcome(run.stream, run);
}

void Delivery::SendOutcome(link::ConnectionId connection, const Run& run) {
  if (run.stage == RunStage::kRefused) {
    Send(connection, MakeRefused(run));
  } else if (run.stage == RunStage::kFailed) {
    Send(connection, MakeFailed(run, run.error));
  } else if (run.end) {
    Send(connection, *run.end);
  }
}

}  // namespace godwit::agent
