#ifndef ROUTING_AGENT_LOAD_H_
#define ROUTING_AGENT_LOAD_H_

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// One router's estimate of the load and speed of an agent. Work is the number
// of prefill tokens that the backend server has yet to process.
struct AgentLoad {
  // Slots in the batch of its backend server.
  int64_t max_running = 1;
  // Number of attempts of this router in progress.
  int64_t in_flight = 0;
  // Work of attempts without a first token, by priority.
  std::map<int64_t, double> pending;
  // Time to the first token per token of work, and the number of observations
  // that it is based on.
  double ms_per_token = 0;
  int64_t samples = 0;
  // Mean time from the first token to the end of an attempt; 0 while unknown.
  double decode_ms = 0;

  // Runs of other routers; moving mean over load reports, since a delayed
  // report says little about the current load but much about the typical one.
  double other_runs = 0;
  base::Millis reported_at;
  bool reported = false;

  int consecutive_failures = 0;
  int64_t ejections = 0;
  base::Millis ejected_until;
  // True from an ejection until the agent may receive requests again.
  bool awaiting_readmission = false;
  // True from then until the ramp-up time has passed and the agent's speed is
  // known again.
  bool ramping_up = false;

  // Ejects the agent. The duration starts at `shortest`, doubles with each
  // further ejection and is at most `longest`.
  void Eject(base::Millis now, base::Millis shortest, base::Millis longest);
  // Starts the ramp-up once an ejection is over. Resets the speed to the
  // typical one, so that the agent receives requests.
  void ReadmitWhenDue(base::Millis now, double typical_ms_per_token);
  // Ends the ramp-up and resets the count of ejections.
  void EndRampUp();
  // Share of the full load that the agent receives after an ejection: grows
  // linearly to 1 over `span`.
  double RampUpShare(base::Millis now, base::Millis span) const;

  // Work of attempts at or above the priority.
  double PendingAhead(int64_t priority) const;
  // Work of all attempts.
  double PendingTotal() const;
  // Updates the estimate from a load report: runs of all routers, including
  // queued ones.
  void UpdateFromReport(base::Millis now, int64_t runs);
  // Runs of all routers at the agent; only this router's attempts if the latest
  // report is older than `lifetime`.
  double Runs(base::Millis now, base::Millis lifetime) const;
};

}  // namespace godwit::routing

#endif  // ROUTING_AGENT_LOAD_H_
