#ifndef EXPERIMENTS_ROUTING_SCENARIO_H_
#define EXPERIMENTS_ROUTING_SCENARIO_H_

#include <cstddef>
#include <cstdint>

#include "base/millis.h"
#include "fake_engine.h"

namespace godwit::experiments {

// How routers choose agents in a run.
enum class Policy { kPicker, kRoundRobin, kLeastInFlight };

// One run of the routing experiment.
struct RoutingScenario {
  const char* name = "";
  // Arrivals as a multiple of the fleet's capacity.
  double load = 0.6;
  // Load during the middle third of the run, to which the measurement is then
  // limited; 0 for no surge.
  double surge_load = 0;
  // Slowness factor of the first engine.
  int64_t first_engine_slowness = 1;
  base::Millis report_delay{50};
  // Share of long logs among the arrivals, in percent.
  int64_t logs_percent = 3;
  bool loses_data_centre = false;
  QueueOrder order = QueueOrder::kPriority;
  bool preempts_prefill = false;
  // Requests stay in queues beyond their deadline, as required for measuring
  // capacity.
  bool ignores_deadlines = false;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_SCENARIO_H_
