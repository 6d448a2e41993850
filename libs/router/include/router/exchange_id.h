#ifndef ROUTER_EXCHANGE_ID_H_
#define ROUTER_EXCHANGE_ID_H_

#include <cstdint>

namespace godwit::router {

// Identifies one exchange with a caller within a router; never reused.
using ExchangeId = int64_t;

}  // namespace godwit::router

#endif  // ROUTER_EXCHANGE_ID_H_
