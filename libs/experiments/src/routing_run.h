#ifndef EXPERIMENTS_ROUTING_RUN_H_
#define EXPERIMENTS_ROUTING_RUN_H_

#include <cstdint>

#include "experiments/routing_measures.h"
#include "routing_scenario.h"

namespace godwit::experiments {

// Returns the requests per second that the fleet of the experiment serves when
// all engines are busy, in arrival order and without affinity.
double MeasureCapacity(uint64_t seed);

// Runs a scenario in virtual time.
RoutingMeasures RunScenario(const RoutingScenario& scenario,
                            Policy policy,
                            double capacity,
                            uint64_t seed);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_RUN_H_
