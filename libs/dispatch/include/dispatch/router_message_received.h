#ifndef DISPATCH_ROUTER_MESSAGE_RECEIVED_H_
#define DISPATCH_ROUTER_MESSAGE_RECEIVED_H_

#include "base/endpoint.h"
#include "dispatch/router_message.h"

namespace godwit::dispatch {

// Event: another router sent a message about a backend server.
struct RouterMessageReceived {
  base::Endpoint from;
  RouterMessage message;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTER_MESSAGE_RECEIVED_H_
