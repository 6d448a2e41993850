#ifndef DISPATCH_ATTEMPT_ABANDONED_H_
#define DISPATCH_ATTEMPT_ABANDONED_H_

#include <cstdint>
#include <string>

#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: record that an attempt brought no answer for the caller and what
// follows, for logs.
struct AttemptAbandoned {
  CallId call = 0;
  std::string request_id;
  // Instance of its server.
  std::string backend;
  // What happened to it.
  std::string reason;
  // "again", "resume", "wait" or "give up".
  std::string next;
  base::Millis since_start;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_ABANDONED_H_
