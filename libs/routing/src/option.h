#ifndef ROUTING_OPTION_H_
#define ROUTING_OPTION_H_

#include <cstdint>

#include "routing/candidate.h"

namespace godwit::routing {

struct AgentLoad;

// One candidate, with the estimates for one request.
struct Option {
  const Candidate* candidate = nullptr;
  AgentLoad* load = nullptr;
  // Leading blocks of the prompt that the agent recently served.
  int64_t cached_blocks = 0;
  // Runs of all routers at the agent.
  double runs = 0;
  // Expected time to the first token.
  double wait_ms = 0;
  // The wait plus the cost of another data centre, divided by the ramp-up share
  // of an agent that was ejected.
  double cost = 0;
};

}  // namespace godwit::routing

#endif  // ROUTING_OPTION_H_
