#ifndef DISPATCH_ATTEMPT_ANSWERED_H_
#define DISPATCH_ATTEMPT_ANSWERED_H_

#include <cstdint>

#include "dispatch/call_id.h"
#include "dispatch/reply.h"

namespace godwit::dispatch {

// Event: a backend server began its answer.
struct AttemptAnswered {
  CallId call = 0;
  int64_t attempt = 0;
  Reply reply;
  // The body was received completely; otherwise its first event or chunk was.
  bool complete = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_ANSWERED_H_
