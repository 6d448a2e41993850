#ifndef ROUTER_ROUTER_OPTIONS_H_
#define ROUTER_ROUTER_OPTIONS_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::router {

// Identity and limits of a RouterCore.
struct RouterOptions {
  base::ProcessId process;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  // Seeds every random choice.
  uint64_t seed = 1;
  // Maximum number of agents that this router links to for one service.
  int64_t subset_size = 16;
  // Maximum answer bytes in flight between an agent and a caller.
  int64_t stream_window_bytes = 256 * 1024;
  // Maximum wait for the reply of an agent to one message.
  base::Millis reply_timeout{1000};
  // Maximum time spent on finding the outcome of an attempt whose link broke.
  // Must exceed the time after which an agent is marked as removed, so that a
  // repeatable request is resumed on another agent.
  base::Millis probe_timeout{20000};
  // Maximum number of agents tried for one request.
  int64_t max_attempts = 3;
};

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_OPTIONS_H_
