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
  // Places in the batch of its backend server.
  int64_t max_running = 1;
  // Attempts of this router in progress.
  int64_t in_flight = 0;
  // Work of attempts without a first token, by priority.
  std::map<int64_t, double> pending;
  // Time to the first token for each token of work, and the number of
  // observations behind it.
  double ms_per_token = 0;
  int64_t samples = 0;
  // Mean time from the first token to the end of an attempt; 0 while unknown.
  double decode_ms = 0;

  // Runs of other routers, a moving mean over load reports: a late report says
  // little on the moment but much on the usual load.
  double other_runs = 0;
  base::Millis reported_at;
  bool reported = false;

  int failures_in_row = 0;
  int64_t ejections = 0;
  base::Millis ejected_until;
  // True from an ejection until the agent is tried again.
  bool awaiting_readmission = false;
  // True from then until it has proved itself.
  bool ramping_up = false;

  // Takes the agent out for a span that doubles at each further ejection.
  void Eject(base::Millis now, base::Millis shortest, base::Millis longest);
  // Forgets the old speed once an ejection is over, so that the agent is tried.
  void ReadmitWhenDue(base::Millis now, double typical_ms_per_token);
  // The agent has proved itself after an ejection.
  void EndRampUp();
  // Share of the full load that is due to the agent while it returns: grows to
  // 1 over `span`.
  double RampUpShare(base::Millis now, base::Millis span) const;

  // Work of attempts at or above the priority.
  double PendingAhead(int64_t priority) const;
  // Work of all attempts.
  double PendingTotal() const;
  // Takes in a load report: runs of all routers, waiting ones included.
  void Report(base::Millis now, int64_t runs);
  // Runs of all routers at the agent; the own attempts when the latest report
  // is older than `lifetime`.
  double Runs(base::Millis now, base::Millis lifetime) const;
};

}  // namespace godwit::routing

#endif  // ROUTING_AGENT_LOAD_H_
