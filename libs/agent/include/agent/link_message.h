#ifndef AGENT_LINK_MESSAGE_H_
#define AGENT_LINK_MESSAGE_H_

#include <tuple>

#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::agent {

// Event: a message was received from a peer. Hello, Heartbeat and the
// configuration messages are handled by the caller of AgentCore and are
// ignored.
struct LinkMessage {
  link::ConnectionId connection = 0;
  link::Message message;

  friend bool operator==(const LinkMessage& a, const LinkMessage& b) {
    return std::tie(a.connection, a.message) ==
           std::tie(b.connection, b.message);
  }
  friend bool operator!=(const LinkMessage& a, const LinkMessage& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_LINK_MESSAGE_H_
