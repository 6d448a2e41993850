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
  // Most agents that this router links to for one service.
  int64_t subset_size = 16;
  // Answer bytes in flight between an agent and a caller.
  int64_t stream_window_bytes = 256 * 1024;
  // Longest wait for an agent's reply to one message.
  base::Millis reply_timeout{1000};
  // Longest search for the truth about an attempt whose link broke; above the
  // time after which an agent is marked gone, so that a request that may be
  // repeated is resumed elsewhere.
  base::Millis probe_timeout{20000};
  // Most agents tried for one request.
  int64_t max_attempts = 3;
};

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_OPTIONS_H_
