#ifndef DISPATCH_ATTEMPT_ABANDONED_H_
#define DISPATCH_ATTEMPT_ABANDONED_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: record that an attempt ended without an answer for the caller, and
// the next action, for logs.
struct AttemptAbandoned {
  CallId call = 0;
  std::string request_id;
  // Instance of the attempt's server.
  std::string backend;
  // Why the attempt was abandoned.
  std::string reason;
  // "again", "resume", "wait" or "give up".
  std::string next;
  base::Millis since_start;
  // The server had begun its answer.
  bool had_begun = false;
  // Prompt::SharedParts() of the request.
  std::vector<uint64_t> shared_parts;
  // Request::content.
  base::Digest content;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_ABANDONED_H_
