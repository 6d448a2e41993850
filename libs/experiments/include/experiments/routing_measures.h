#ifndef EXPERIMENTS_ROUTING_MEASURES_H_
#define EXPERIMENTS_ROUTING_MEASURES_H_

#include <array>
#include <cstdint>

namespace godwit::experiments {

// Results of one run of the routing experiment.
struct RoutingMeasures {
  // Time to the first token of requests that received one, in milliseconds.
  double ttft_p50_ms = 0;
  double ttft_p95_ms = 0;
  double ttft_p99_ms = 0;
  // Time between tokens, in milliseconds.
  double gap_p50_ms = 0;
  double gap_p95_ms = 0;
  // Share of arrivals whose first token came within the deadline and whose
  // answer was complete, for each class and in total.
  std::array<double, 3> goodput = {};
  double goodput_all = 0;
  // Share of prompt tokens found in an engine's prefix cache.
  double prefix_hit = 0;
  // Requests refused on arrival, and requests dropped when their deadline
  // passed in a queue, as shares of all arrivals.
  double refused = 0;
  double expired = 0;
  // Share of the refusals at which an engine had the capacity to meet the
  // deadline.
  double refused_with_room = 0;
  int64_t arrivals = 0;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_MEASURES_H_
