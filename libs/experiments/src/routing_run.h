#ifndef EXPERIMENTS_ROUTING_RUN_H_
#define EXPERIMENTS_ROUTING_RUN_H_

#include <cstdint>

#include "experiments/routing_measures.h"
#include "routing_scenario.h"

namespace godwit::experiments {

// Requests a second that the fleet of the experiment serves when every engine
// is busy, under arrival order without affinity.
double MeasureCapacity(uint64_t seed);

// Runs a scenario in virtual time.
RoutingMeasures RunScenario(const RoutingScenario& scenario,
                            Policy policy,
                            double capacity,
                            uint64_t seed);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_RUN_H_
