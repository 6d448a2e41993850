#ifndef EXPERIMENTS_ROUTING_EXPERIMENT_H_
#define EXPERIMENTS_ROUTING_EXPERIMENT_H_

#include <cstdint>
#include <ostream>

namespace godwit::experiments {

// Compares the routing policy with round robin and least in flight, and with
// itself under other queue orders, over the same seeded workloads in virtual
// time. The engines and their queues are the same in every arm, except for the
// arms that use another order. Writes a CSV table of all runs, then a
// comparison with the targets in lines that start with '#'. The output depends
// only on the seed.
void RunRoutingExperiment(uint64_t seed, std::ostream& out);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_EXPERIMENT_H_
