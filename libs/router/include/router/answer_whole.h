#ifndef ROUTER_ANSWER_WHOLE_H_
#define ROUTER_ANSWER_WHOLE_H_

#include <string>

#include "router/exchange_id.h"

namespace godwit::router {

// Command: send a whole answer.
struct AnswerWhole {
  ExchangeId exchange = 0;
  int status = 200;
  std::string content_type;
  std::string body;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_WHOLE_H_
