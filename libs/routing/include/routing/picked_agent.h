#ifndef ROUTING_PICKED_AGENT_H_
#define ROUTING_PICKED_AGENT_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// Where a request should go.
struct PickedAgent {
  base::Incarnation agent;
  // Expected time to the first token.
  base::Millis predicted_wait;
  // Prefix blocks that the agent lately served.
  int64_t cached_blocks = 0;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICKED_AGENT_H_
