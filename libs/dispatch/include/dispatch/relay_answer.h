#ifndef DISPATCH_RELAY_ANSWER_H_
#define DISPATCH_RELAY_ANSWER_H_

#include <cstdint>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: relay an attempt's answer to the caller as it arrives.
struct RelayAnswer {
  CallId call = 0;
  int64_t attempt = 0;
  // An earlier attempt of the call may have run, whatever the answer states of
  // this one.
  bool may_have_run_before = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_RELAY_ANSWER_H_
