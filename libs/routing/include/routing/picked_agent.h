#ifndef ROUTING_PICKED_AGENT_H_
#define ROUTING_PICKED_AGENT_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// The agent chosen for a request.
struct PickedAgent {
  base::Incarnation agent;
  // Expected time to the first token.
  base::Millis predicted_wait;
  // Leading prefix blocks of the prompt that the agent recently served.
  int64_t cached_blocks = 0;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICKED_AGENT_H_
