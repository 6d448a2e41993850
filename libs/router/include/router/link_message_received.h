#ifndef ROUTER_LINK_MESSAGE_RECEIVED_H_
#define ROUTER_LINK_MESSAGE_RECEIVED_H_

#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::router {

// Event: a message was received on a link.
struct LinkMessageReceived {
  link::ConnectionId connection = 0;
  link::Message message;
};

}  // namespace godwit::router

#endif  // ROUTER_LINK_MESSAGE_RECEIVED_H_
