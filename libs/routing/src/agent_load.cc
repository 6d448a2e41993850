#include "agent_load.h"

#include <algorithm>

namespace godwit::routing {

double AgentLoad::PendingAhead(int64_t priority) const {
  double sum = 0;
  for (auto it = pending.lower_bound(priority); it != pending.end(); ++it) {
    sum += it->second;
  }
  return sum;
}

double AgentLoad::PendingTotal() const {
  double sum = 0;
  for (const auto& [priority, work] : pending) {
    sum += work;
  }
  return sum;
}

int64_t AgentLoad::Runs(base::Millis now, base::Millis lifetime) const {
  if (!reported || now - reported_at >= lifetime) {
    return in_flight;
  }
  return std::max(in_flight, reported_runs + in_flight - in_flight_at_report);
}

}  // namespace godwit::routing
