#ifndef DISPATCH_START_ATTEMPT_H_
#define DISPATCH_START_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: send a request to a backend server.
struct StartAttempt {
  CallId call = 0;
  // Increases with each attempt of a call.
  int64_t attempt = 0;
  // The only server that may run the attempt.
  Backend backend;
  // Time left until the deadline.
  base::Millis time_left;
  // 0 is the most urgent, 9 the least.
  int64_t urgency = 0;
  // The organisation of the caller; empty for anonymous routes.
  base::OrganisationId organisation;
  // The answer is an event stream.
  bool is_stream = false;
  // The stream may go on at another server after the id of its last event.
  bool is_resumable = false;
  // The stream resumes after this event.
  std::optional<int64_t> resume_after;
  // Request::resumes, for logs.
  std::string resumes;
  // Prompt::SharedParts() of the request, for logs.
  std::vector<uint64_t> shared_parts;
  // Request::content, for logs.
  base::Digest content;
  // Estimates behind the choice, for logs: time to the first byte, and prompt
  // tokens that the server does not have cached.
  base::Millis expected;
  base::Tokens uncached = 0;
  // Tokens of the prompt, and the tokens that are reserved of the budget, for
  // logs.
  base::Tokens input = 0;
  base::Tokens reserved = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_START_ATTEMPT_H_
