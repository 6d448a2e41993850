#ifndef ROUTER_ANSWER_END_H_
#define ROUTER_ANSWER_END_H_

#include "router/exchange_id.h"

namespace godwit::router {

// Command: end a streamed answer that is complete.
struct AnswerEnd {
  ExchangeId exchange = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_END_H_
