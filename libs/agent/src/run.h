#ifndef AGENT_RUN_H_
#define AGENT_RUN_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "link/connection_id.h"
#include "link/run_end.h"
#include "link/run_head.h"
#include "link/run_phase.h"
#include "link/start_run.h"

namespace godwit::agent {

enum class RunStage : uint8_t {
  kQueued,
  // Given to the backend server.
  kRunning,
  kComplete,
  // Was given to the backend server and ended without a whole answer.
  kFailed,
  // Was never given to the backend server and never will be.
  kRefused,
};

// How far a link has got with an answer.
struct Reader {
  // Answer bytes sent.
  int64_t sent_offset = 0;
  // Bytes that may be sent before more credit.
  int64_t credit = 0;
  // True once the end was sent.
  bool end_sent = false;
};

// One attempt, as this agent knows it.
struct Run {
  // Body and answer prefix are dropped once the backend server has them.
  link::StartRun start;
  RunStage stage = RunStage::kQueued;
  // The router life that started it; empty for a tombstone.
  base::Incarnation starter;
  base::Millis deadline;
  // When the backend server got it.
  base::Millis started_at;
  base::Millis ended_at;
  // True until BackendEnd or BackendFailed: the place is taken.
  bool backend_open = false;
  bool backend_paused = false;

  // Links that the answer goes to.
  std::map<link::ConnectionId, Reader> readers;
  // When the answer lost its last link.
  base::Millis detached_at;
  // True once a reader was sent the whole answer.
  bool delivered = false;

  std::optional<link::RunHead> head;
  // Set when complete.
  std::optional<link::RunEnd> end;
  // Why it failed or was refused.
  base::Error error;
  base::Millis retry_after;
  base::Tokens billed = 0;

  bool ended() const noexcept {
    return stage != RunStage::kQueued && stage != RunStage::kRunning;
  }
};

// The phase that peers are told.
link::RunPhase PhaseOf(RunStage stage) noexcept;

}  // namespace godwit::agent

#endif  // AGENT_RUN_H_
