#ifndef AGENT_SEND_MESSAGE_H_
#define AGENT_SEND_MESSAGE_H_

#include <tuple>

#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::agent {

// Command: send a message on a link.
struct SendMessage {
  link::ConnectionId connection = 0;
  link::Message message;

  friend bool operator==(const SendMessage& a, const SendMessage& b) {
    return std::tie(a.connection, a.message) ==
           std::tie(b.connection, b.message);
  }
  friend bool operator!=(const SendMessage& a, const SendMessage& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_SEND_MESSAGE_H_
