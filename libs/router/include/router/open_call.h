#ifndef ROUTER_OPEN_CALL_H_
#define ROUTER_OPEN_CALL_H_

#include <string_view>

#include "base/ids.h"

namespace godwit::router {

// State of a request in progress, as shown to operators.
struct OpenCall {
  base::ServiceId service;
  base::AttemptId attempt;
  // Incarnation of the agent that runs the request or was picked to.
  base::Incarnation agent;
  // Current phase, such as "registering" or "running".
  std::string_view phase;
  // False when the caller no longer waits and only billing is unfinished.
  bool caller_waits = false;
};

}  // namespace godwit::router

#endif  // ROUTER_OPEN_CALL_H_
