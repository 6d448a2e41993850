#ifndef AGENT_AGENT_CORE_H_
#define AGENT_AGENT_CORE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "agent/agent_command.h"
#include "agent/agent_event.h"
#include "agent/agent_options.h"
#include "base/ids.h"
#include "base/millis.h"
#include "link/grant_usage.h"
#include "link/run_phase.h"

namespace godwit::agent {

// Decision logic of the agent in front of one backend server, without I/O.
// Deterministic: the same events at the same times yield the same commands.
// Not thread-safe.
//
// Invariants:
// - An attempt is sent to the backend server at most once in this incarnation,
//   and an attempt that may not be repeated only if its claim names this
//   incarnation.
// - No run is sent to the backend server under a sealed grant, and none is
//   accepted while the agent is leaving.
// - RunRefused is sent only for an attempt that never reached the backend
//   server and never will.
// - Billing under a grant: for a model pool the prompt and generated tokens of
//   a complete answer, at most the reservation, and nothing if the engine
//   refused the request with a status of 400 or more; for a plain service the
//   reservation if the answer's status is below 500, else nothing. A failed run
//   costs nothing, unless a caller cancelled it: then the tokens generated
//   until then are billed, at most the reservation.
// - Answers of plain services are passed on completely, whatever their status.
//   A status of 500 or more from a model engine fails the run.
// - A run continues when its link is lost. If no router attaches within the
//   grace period, a queued run is refused and a running one that may be
//   repeated is cancelled; any other run completes and its answer is kept.
// - CancelRun refuses a queued run. It does not stop a running one that may not
//   be repeated or that another link reads.
class AgentCore {
 public:
  explicit AgentCore(AgentOptions options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  // Handles one event and returns the commands to execute. `now` must not
  // decrease between calls.
  std::vector<AgentCommand> Step(base::Millis now, const AgentEvent& event);

  // Number of runs at the backend server.
  int64_t running() const noexcept;
  // Number of runs that wait for the backend server.
  int64_t queued() const noexcept;
  // True after DrainRequested.
  bool leaving() const noexcept;
  // Newest known version of the fleet record.
  int64_t fleet_version() const noexcept;
  // Runs that have not ended, sorted by id.
  std::vector<base::AttemptId> open_runs() const;
  link::RunPhase phase(const base::AttemptId& attempt) const;
  link::GrantUsage usage(const base::GrantId& grant) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::agent

#endif  // AGENT_AGENT_CORE_H_
