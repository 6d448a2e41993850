#ifndef ROUTER_ANSWER_ERROR_H_
#define ROUTER_ANSWER_ERROR_H_

#include "router/caller_error.h"
#include "router/exchange_id.h"

namespace godwit::router {

// Command: refuse or fail a request for which no answer byte has been sent.
struct AnswerError {
  ExchangeId exchange = 0;
  CallerError error;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_ERROR_H_
