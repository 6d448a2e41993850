#ifndef DISPATCH_ATTEMPT_PROGRESSED_H_
#define DISPATCH_ATTEMPT_PROGRESSED_H_

#include <cstdint>
#include <optional>

#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Event: events of a stream were relayed to the caller.
struct AttemptProgressed {
  CallId call = 0;
  int64_t attempt = 0;
  // Total over all attempts of the call.
  int64_t events = 0;
  // Id of the last one.
  std::optional<int64_t> last_event;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_PROGRESSED_H_
