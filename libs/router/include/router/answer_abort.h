#ifndef ROUTER_ANSWER_ABORT_H_
#define ROUTER_ANSWER_ABORT_H_

#include "router/exchange_id.h"

namespace godwit::router {

// Command: terminate a streamed answer so that the caller can detect that it is
// incomplete.
struct AnswerAbort {
  ExchangeId exchange = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_ABORT_H_
