#ifndef FLEET_CONNECTION_H_
#define FLEET_CONNECTION_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "base/ids.h"
#include "base/millis.h"
#include "fleet_simulation.h"
#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::fleet {

// A link between a router and one incarnation of an agent.
struct FleetSimulation::Connection {
  using Queue = std::deque<std::pair<base::Millis, link::Message>>;

  link::ConnectionId id = 0;
  size_t router = 0;
  size_t agent = 0;
  base::Incarnation agent_incarnation;
  base::ProcessId agent_process;
  // True once both ends were notified that the link is up.
  bool up = false;
  // True once one end has closed the link; the other end is notified at
  // `closed_at`.
  bool closing = false;
  base::Millis closed_at;
  bool stalled = false;
  bool done = false;
  base::Millis opens_at;
  // When each end last received a message.
  base::Millis router_last_received_at;
  base::Millis agent_last_received_at;
  Queue to_router;
  Queue to_agent;
};

}  // namespace godwit::fleet

#endif  // FLEET_CONNECTION_H_
