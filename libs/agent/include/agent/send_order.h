#ifndef AGENT_SEND_ORDER_H_
#define AGENT_SEND_ORDER_H_

#include <tuple>

#include "link/connection_id.h"
#include "link/engine_order.h"

namespace godwit::agent {

// Command: send an order to the backend server. OrderFinished follows.
struct SendOrder {
  link::ConnectionId connection = 0;
  link::EngineOrder order;

  friend bool operator==(const SendOrder& a, const SendOrder& b) {
    return std::tie(a.connection, a.order) == std::tie(b.connection, b.order);
  }
  friend bool operator!=(const SendOrder& a, const SendOrder& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_SEND_ORDER_H_
