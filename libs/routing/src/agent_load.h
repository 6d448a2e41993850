#ifndef ROUTING_AGENT_LOAD_H_
#define ROUTING_AGENT_LOAD_H_

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// What one router knows of the load and speed of an agent. Work is counted in
// tokens of prefill that the backend server has yet to do.
struct AgentLoad {
  // Attempts of this router in progress.
  int64_t in_flight = 0;
  // Work of attempts without a first token, by priority.
  std::map<int64_t, double> pending;
  // Time to the first token for each token of work, and the number of
  // observations behind it.
  double ms_per_token = 0;
  int64_t samples = 0;
  // Mean time from start to end of an attempt; 0 while unknown.
  double duration_ms = 0;

  // The latest load report, and the attempts in progress when it came.
  bool reported = false;
  int64_t reported_runs = 0;
  int64_t in_flight_at_report = 0;
  base::Millis reported_at;

  int failures_in_row = 0;
  int64_t ejections = 0;
  base::Millis ejected_until;
  // End of the latest ejection, from which the slow return counts.
  bool returning = false;

  // Work of attempts at or above the priority.
  double PendingAhead(int64_t priority) const;
  // Work of all attempts.
  double PendingTotal() const;
  // Runs of all routers at the agent: the report, corrected by what this
  // router has started and ended since; the own attempts when it is older than
  // `lifetime`.
  int64_t Runs(base::Millis now, base::Millis lifetime) const;
};

}  // namespace godwit::routing

#endif  // ROUTING_AGENT_LOAD_H_
