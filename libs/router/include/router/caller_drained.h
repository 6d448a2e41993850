#ifndef ROUTER_CALLER_DRAINED_H_
#define ROUTER_CALLER_DRAINED_H_

#include <cstdint>

#include "router/exchange_id.h"

namespace godwit::router {

// Event: the caller took answer bytes.
struct CallerDrained {
  ExchangeId exchange = 0;
  int64_t bytes = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_DRAINED_H_
