#ifndef LINK_TRANSPORT_HANDLER_H_
#define LINK_TRANSPORT_HANDLER_H_

#include <functional>

#include "base/error.h"
#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::link {

struct Hello;

// Callbacks of a Transport. They run on the core's dispatching fiber and must
// not block.
struct TransportHandler {
  // A link is up: both ends have sent Hello and agree on protocol and fleet.
  std::function<void(ConnectionId, const Hello& peer)> on_up;
  // A message other than Hello was received.
  std::function<void(ConnectionId, Message)> on_message;
  // The link is closed, was unresponsive for the receive timeout, or its peer
  // was rejected. Also called for a failed dial, with the id that Dial
  // returned.
  std::function<void(ConnectionId)> on_down;
  // Optional: a peer violated the protocol, was unresponsive or was rejected;
  // the id is 0 for an incoming connection that never opened. Kinds:
  // kForbidden (rejected peer), kProtocol (unexpected or unknown frame),
  // kMalformed, kTooLarge, kDeadlineExceeded (unresponsive), kUnavailable
  // (connection failed).
  std::function<void(ConnectionId, const base::Error&)> on_fault;
  // Return the next Hello and Heartbeat that this process sends.
  std::function<Hello()> hello;
  std::function<Heartbeat()> heartbeat;
};

}  // namespace godwit::link

#endif  // LINK_TRANSPORT_HANDLER_H_
