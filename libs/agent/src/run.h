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
  // Sent to the backend server.
  kRunning,
  kComplete,
  // Was sent to the backend server and ended without a complete answer.
  kFailed,
  // Never reached the backend server and never will.
  kRefused,
};

// Progress of sending an answer on one link.
struct Reader {
  int64_t sent_offset = 0;
  // Bytes that may be sent before more credit is granted.
  int64_t credit = 0;
  // True once the end of the answer was sent.
  bool end_sent = false;
};

// State of one attempt at this agent.
struct Run {
  // Body and answer prefix are cleared once they were sent to the backend
  // server.
  link::StartRun start;
  // Continues a stream that the caller has received in part.
  bool resumes = false;
  RunStage stage = RunStage::kQueued;
  // Router incarnation that started the run; empty for a tombstone.
  base::Incarnation started_by;
  base::Millis deadline;
  // Time at which the run was sent to the backend server.
  base::Millis started_at;
  base::Millis ended_at;
  // True until BackendEnd or BackendFailed; the run occupies a slot of the
  // backend server for that time.
  bool backend_open = false;
  bool backend_paused = false;

  // Links that the answer is sent on.
  std::map<link::ConnectionId, Reader> readers;
  // Time at which the last link was detached from the answer.
  base::Millis detached_at;
  // True once the complete answer was sent to a reader.
  bool delivered = false;

  std::optional<link::RunHead> head;
  // Set when the run is complete.
  std::optional<link::RunEnd> end;
  // Reason of the failure or refusal.
  base::Error error;
  base::Millis retry_after;
  base::Tokens billed = 0;

  bool ended() const noexcept {
    return stage != RunStage::kQueued && stage != RunStage::kRunning;
  }
};

// Returns the phase that is reported to peers.
link::RunPhase PhaseOf(RunStage stage) noexcept;

}  // namespace godwit::agent

#endif  // AGENT_RUN_H_
