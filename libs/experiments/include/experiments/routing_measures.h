#ifndef EXPERIMENTS_ROUTING_MEASURES_H_
#define EXPERIMENTS_ROUTING_MEASURES_H_

#include <array>
#include <cstdint>

namespace godwit::experiments {

// What one run of the routing experiment measured.
struct RoutingMeasures {
  // Time to the first token of requests that got one, in milliseconds.
  double ttft_p50_ms = 0;
  double ttft_p95_ms = 0;
  double ttft_p99_ms = 0;
  // Time between tokens.
  double gap_p50_ms = 0;
  double gap_p95_ms = 0;
  // Share of arrivals that got their first token within the deadline and
  // the whole answer, for each class and over all.
  std::array<double, 3> goodput = {};
  double goodput_all = 0;
  // Share of prompt tokens found in an engine's prefix cache.
  double prefix_hit = 0;
  // Requests refused at once, and dropped when their deadline passed in a
  // queue, as shares of all arrivals.
  double refused = 0;
  double expired = 0;
  // Share of the refusals at which an engine had room to make the deadline.
  double refused_with_room = 0;
  int64_t arrivals = 0;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_MEASURES_H_
