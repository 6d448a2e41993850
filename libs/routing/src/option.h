#ifndef ROUTING_OPTION_H_
#define ROUTING_OPTION_H_

#include <cstdint>

#include "routing/candidate.h"

namespace godwit::routing {

struct AgentLoad;

// One candidate as seen by one request.
struct Option {
  const Candidate* candidate = nullptr;
  AgentLoad* load = nullptr;
  // Leading blocks of the prompt that the agent lately served.
  int64_t cached_blocks = 0;
  // Runs of all routers at the agent.
  double runs = 0;
  // Expected time to the first token.
  double wait_ms = 0;
  // The wait, weighted by distance and by the share due to an agent that
  // returns from an ejection.
  double cost = 0;
};

}  // namespace godwit::routing

#endif  // ROUTING_OPTION_H_
