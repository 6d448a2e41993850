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

// The decisions of the agent before one backend server. Deterministic: the same
// events at the same times give the same commands. One thread at a time.
//
// What it holds to:
// - An attempt is given to the backend server at most once in this life, and an
//   attempt that may not be repeated only if its claim names this life.
// - Nothing starts under a sealed grant, nor while leaving.
// - RunRefused is sent only for an attempt that never reached the backend
//   server and never will.
// - What is billed under a grant: for a model pool the prompt and generated
//   tokens of a whole answer, at most the reservation, and nothing when the
//   engine refused the request with a status of 400 or more; for a plain
//   service the reservation when the answer's status is below 500, else
//   nothing. A run that failed costs nothing, unless a caller cancelled it:
//   then the tokens generated until then, at most the reservation.
// - Answers of plain services pass through whole, whatever their status. A
//   model engine's status of 500 or more fails the run.
// - A run outlives its link. If no router attaches within the grace, a run that
//   may be repeated is cancelled; any other completes and its answer is kept.
// - CancelRun does not stop a run that may not be repeated.
class AgentCore {
 public:
  explicit AgentCore(AgentOptions options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  // `now` never goes back between calls.
  std::vector<AgentCommand> Step(base::Millis now, const AgentEvent& event);

  // Runs at the backend server.
  int64_t running() const noexcept;
  // Runs that wait for the backend server.
  int64_t queued() const noexcept;
  // True after DrainRequested.
  bool leaving() const noexcept;
  // Newest version of the fleet record known.
  int64_t fleet_version() const noexcept;
  // Runs that have not ended, in the order of their ids.
  std::vector<base::AttemptId> open_runs() const;
  link::RunPhase phase(const base::AttemptId& attempt) const;
  link::GrantUsage usage(const base::GrantId& grant) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::agent

#endif  // AGENT_AGENT_CORE_H_
