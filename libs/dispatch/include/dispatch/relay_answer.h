#ifndef DISPATCH_RELAY_ANSWER_H_
#define DISPATCH_RELAY_ANSWER_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: relay an attempt's answer to the caller as it arrives.
struct RelayAnswer {
  CallId call = 0;
  int64_t attempt = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_RELAY_ANSWER_H_
