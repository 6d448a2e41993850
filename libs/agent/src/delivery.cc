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

// Maximum number of answer bytes sent in one message.
constexpr int64_t kMaxDataBytes = int64_t{64} * 1024;

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
  commands_.emplace_back(SendMessage{connection, std::move(message)});
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

void Delivery::SendToReaders(const Run& run, const link::Message& message) {
  for (const auto& [connection, reader] : run.readers) {
    Send(connection, message);
  }
}

void Delivery::Attach(Run& run,
                      link::ConnectionId connection,
                      const link::AttachRun& attach) {
  run.readers[connection] = Reader{attach.offset, attach.credit, false};
  if (run.head) {
    Send(connection, *run.head);
  }
  if (run.stage == RunStage::kFailed || run.stage == RunStage::kRefused) {
    run.readers.erase(connection);
    SendOutcome(connection, run);
    return;
  }
  SendAvailable(run);
}

void Delivery::Detach(base::Millis now,
                      Run& run,
                      link::ConnectionId connection) {
  if (run.readers.erase(connection) == 0 || !run.readers.empty()) {
    return;
  }
  run.detached_at = now;
  UpdateBackendPause(run, 0);
}

void Delivery::SendAvailable(Run& run) {
  if (run.readers.empty() || !run.head) {
    return;
  }
  const stream::AnswerBuffer* answer = answers_.Find(run.start.attempt);
  if (answer == nullptr) {
    if (run.stage == RunStage::kComplete) {
      SendToReaders(run, MakeFailed(run, AnswerDropped()));
      run.readers.clear();
    }
    return;
  }
  int64_t furthest = 0;
  for (auto& [connection, reader] : run.readers) {
    SendToReader(run, connection, reader, *answer);
    furthest = std::max(furthest, reader.sent_offset);
  }
  UpdateBackendPause(run, answer->length() - furthest);
}

void Delivery::SendToReader(Run& run,
                            link::ConnectionId connection,
                            Reader& reader,
                            const stream::AnswerBuffer& answer) {
  while (reader.credit > 0) {
    const std::string_view piece =
        answer.Read(reader.sent_offset, std::min(reader.credit, kMaxDataBytes));
    if (piece.empty()) {
      break;
    }
    link::RunData data;
    data.key = run.start.key;
    data.attempt = run.start.attempt;
    data.offset = reader.sent_offset;
    data.bytes = std::string(piece);
    reader.sent_offset += static_cast<int64_t>(piece.size());
    reader.credit -= static_cast<int64_t>(piece.size());
    data.tokens = answer.TokensBefore(reader.sent_offset);
    Send(connection, std::move(data));
  }
  if (run.end && !reader.end_sent && reader.sent_offset >= run.end->length) {
    reader.end_sent = true;
    run.delivered = true;
    Send(connection, *run.end);
  }
}

void Delivery::UpdateBackendPause(Run& run, int64_t waiting_bytes) {
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
  bool started_by_reader = false;
  for (const auto& [connection, reader] : run.readers) {
    started_by_reader =
        started_by_reader || PeerOf(connection) == run.started_by;
  }
  for (const auto& [connection, peer] : links_) {
    const bool reads = run.readers.count(connection) != 0;
    if (peer == run.started_by && !reads && !(complete && started_by_reader)) {
      SendOutcome(connection, run);
    }
  }
  if (complete) {
    SendAvailable(run);
    return;
  }
  for (const auto& [connection, reader] : run.readers) {
    SendOutcome(connection, run);
  }
  run.readers.clear();
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
