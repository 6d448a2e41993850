#ifndef ROUTER_COMPLETE_ANSWER_H_
#define ROUTER_COMPLETE_ANSWER_H_

#include <string>

#include "router/exchange_id.h"

namespace godwit::router {

// Command: send a complete, non-streamed answer.
struct CompleteAnswer {
  ExchangeId exchange = 0;
  int status = 200;
  std::string content_type;
  std::string body;
};

}  // namespace godwit::router

#endif  // ROUTER_COMPLETE_ANSWER_H_
