#ifndef ROUTER_ANSWER_HEAD_H_
#define ROUTER_ANSWER_HEAD_H_

#include <string>

#include "router/exchange_id.h"

namespace godwit::router {

// Command: begin a streamed answer.
struct AnswerHead {
  ExchangeId exchange = 0;
  int status = 200;
  std::string content_type;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_HEAD_H_
