#ifndef LINK_TRANSPORT_HANDLER_H_
#define LINK_TRANSPORT_HANDLER_H_

#include <functional>

#include "base/error.h"
#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::link {

struct Hello;

// What a Transport reports, on the core's dispatching fiber; the callbacks must
// not block.
struct TransportHandler {
  // A link is up: both ends have sent Hello and agree on protocol and fleet.
  std::function<void(ConnectionId, const Hello& peer)> on_up;
  // A message other than Hello arrived.
  std::function<void(ConnectionId, Message)> on_message;
  // The link is gone: closed, silent beyond the progress deadline, or foreign.
  // Also reported for a dial that failed, with the id that Dial returned.
  std::function<void(ConnectionId)> on_down;
  // Optional: a peer broke the protocol, went silent or is foreign; the id is 0
  // for an incoming connection that never opened. Kinds:
  // kForbidden (foreign), kProtocol (misplaced or unknown frame), kMalformed,
  // kTooLarge, kDeadlineExceeded (silent), kUnavailable (connection failed).
  std::function<void(ConnectionId, const base::Error&)> on_fault;
  // Contents of the next Hello and Heartbeat of this process.
  std::function<Hello()> hello;
  std::function<Heartbeat()> heartbeat;
};

}  // namespace godwit::link

#endif  // LINK_TRANSPORT_HANDLER_H_
