#ifndef ROUTER_ANSWER_BYTES_CONSUMED_H_
#define ROUTER_ANSWER_BYTES_CONSUMED_H_

#include <cstdint>

#include "router/exchange_id.h"

namespace godwit::router {

// Event: the caller consumed answer bytes; the agent may send as many more.
struct AnswerBytesConsumed {
  ExchangeId exchange = 0;
  int64_t bytes = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_BYTES_CONSUMED_H_
