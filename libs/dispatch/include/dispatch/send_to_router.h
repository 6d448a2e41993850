#ifndef DISPATCH_SEND_TO_ROUTER_H_
#define DISPATCH_SEND_TO_ROUTER_H_

#include "base/endpoint.h"
#include "dispatch/router_message.h"

namespace godwit::dispatch {

// Command: send a datagram to another router. It may be lost.
struct SendToRouter {
  base::Endpoint to;
  RouterMessage message;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SEND_TO_ROUTER_H_
