#ifndef ROUTER_SEND_MESSAGE_H_
#define ROUTER_SEND_MESSAGE_H_

#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::router {

// Command: send a message on a link.
struct SendMessage {
  link::ConnectionId connection = 0;
  link::Message message;
};

}  // namespace godwit::router

#endif  // ROUTER_SEND_MESSAGE_H_
