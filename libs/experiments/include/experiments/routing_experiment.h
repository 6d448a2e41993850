#ifndef EXPERIMENTS_ROUTING_EXPERIMENT_H_
#define EXPERIMENTS_ROUTING_EXPERIMENT_H_

#include <cstdint>
#include <ostream>

namespace godwit::experiments {

// Measures the routing policy against round robin and least in flight, and
// against itself with other queue orders, over the same seeded workloads in
// virtual time. The engines and their queues are the same in every arm, but
// for the arms that try another order. Writes a CSV table of every run, then a
// comparison with the targets as lines that start with '#'. The output depends
// on the seed only.
void RunRoutingExperiment(uint64_t seed, std::ostream& out);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_EXPERIMENT_H_
