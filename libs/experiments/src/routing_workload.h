#ifndef EXPERIMENTS_ROUTING_WORKLOAD_H_
#define EXPERIMENTS_ROUTING_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "base/millis.h"
#include "routing/pick_request.h"

namespace godwit::experiments {

// A class of requests in the routing experiment.
struct WorkloadClass {
  const char* name;
  int64_t priority;
  base::Millis deadline;
};

inline constexpr size_t kWorkloadClasses = 3;
inline constexpr WorkloadClass kWorkload[kWorkloadClasses] = {
    {"quotes", 80, base::Millis(2000)},
    {"chat", 50, base::Millis(5000)},
    {"logs", 20, base::Millis(20000)},
};

// Arrival of one request.
struct Arrival {
  int64_t at_us = 0;
  size_t workload_class = 0;
  size_t router = 0;
  routing::PickRequest request;
  base::Tokens output_tokens = 0;
};

// Seeded Poisson arrivals: quotes and chat sessions that start with the system
// prompt of their organisation and whose turns arrive at any router, and long
// logs that share nothing but that prompt.
class RoutingWorkload {
 public:
  RoutingWorkload(uint64_t seed, size_t routers, int64_t logs_percent);

  // Returns the next arrival at a rate of `per_second`.
  Arrival Next(double per_second);

 private:
  struct Session {
    uint64_t id = 0;
    uint64_t organisation = 0;
    int64_t turns = 0;
  };

  int64_t Uniform(int64_t low, int64_t high);
  Session NewSession();
  void Fill(Arrival& arrival, const Session& session, base::Tokens tail);

  std::mt19937_64 random_;
  size_t routers_;
  int64_t logs_percent_;
  int64_t now_us_ = 0;
  uint64_t next_id_ = 1;
  std::vector<Session> sessions_;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_ROUTING_WORKLOAD_H_
