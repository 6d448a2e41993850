#ifndef ROUTER_ANSWER_BYTES_H_
#define ROUTER_ANSWER_BYTES_H_

#include <string>

#include "router/exchange_id.h"

namespace godwit::router {

// Command: relay part of a streamed answer.
struct AnswerBytes {
  ExchangeId exchange = 0;
  std::string bytes;
};

}  // namespace godwit::router

#endif  // ROUTER_ANSWER_BYTES_H_
