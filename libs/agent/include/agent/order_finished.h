#ifndef AGENT_ORDER_FINISHED_H_
#define AGENT_ORDER_FINISHED_H_

#include <tuple>

#include "link/connection_id.h"
#include "link/engine_order_done.h"

namespace godwit::agent {

// Event: the backend server answered an order.
struct OrderFinished {
  link::ConnectionId connection = 0;
  // The answer for the peer.
  link::EngineOrderDone done;

  friend bool operator==(const OrderFinished& a, const OrderFinished& b) {
    return std::tie(a.connection, a.done) == std::tie(b.connection, b.done);
  }
  friend bool operator!=(const OrderFinished& a, const OrderFinished& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_ORDER_FINISHED_H_
