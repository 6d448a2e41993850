#ifndef ROUTER_LINK_CLOSED_H_
#define ROUTER_LINK_CLOSED_H_

#include "base/ids.h"
#include "link/connection_id.h"

namespace godwit::router {

// Event: a link to an agent was closed or could not be opened.
struct LinkClosed {
  link::ConnectionId connection = 0;
  // Agent that was dialled.
  base::ProcessId process;
};

}  // namespace godwit::router

#endif  // ROUTER_LINK_CLOSED_H_
