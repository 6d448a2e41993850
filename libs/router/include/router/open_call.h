#ifndef ROUTER_OPEN_CALL_H_
#define ROUTER_OPEN_CALL_H_

#include <string_view>

#include "base/ids.h"

namespace godwit::router {

// A request in progress, for operators.
struct OpenCall {
  base::ServiceId service;
  base::AttemptId attempt;
  // The agent life that runs it, or would.
  base::Incarnation agent;
  // What it waits for, such as "registering" or "running".
  std::string_view phase;
  // False when only its bill is open.
  bool caller_waits = false;
};

}  // namespace godwit::router

#endif  // ROUTER_OPEN_CALL_H_
