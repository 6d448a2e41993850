#ifndef DISPATCH_START_ATTEMPT_H_
#define DISPATCH_START_ATTEMPT_H_

#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: send a request to a backend server.
struct StartAttempt {
  CallId call = 0;
  // Counts up in each call.
  int64_t attempt = 0;
  // Only this server may run it.
  Backend backend;
  // Time that the server may take.
  base::Millis time_left;
  // 0 is the most urgent, 9 the least.
  int64_t urgency = 0;
  // Whose request it is; empty for anonymous routes.
  base::OrganisationId organisation;
  // The answer is an event stream.
  bool is_stream = false;
  // The stream goes on after this event.
  std::optional<int64_t> resume_after;
  // What the choice was based on, for logs: time to the first byte, and tokens
  // of the prompt to be read.
  base::Millis expected;
  base::Tokens uncached = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_START_ATTEMPT_H_
