#ifndef ROUTER_CALLER_DISCONNECTED_H_
#define ROUTER_CALLER_DISCONNECTED_H_

#include "router/exchange_id.h"

namespace godwit::router {

// Event: the caller closed its connection.
struct CallerDisconnected {
  ExchangeId exchange = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_DISCONNECTED_H_
