#ifndef DISPATCH_REPEAT_RULE_H_
#define DISPATCH_REPEAT_RULE_H_

#include <cstdint>

namespace godwit::dispatch {

// Whether requests of a route may be run more than once.
enum class RepeatRule : uint8_t {
  // May run any number of times.
  kIdempotent,
  // Runs at most once for each request of a caller.
  kAtMostOnce,
  // A stream that may be resumed at another backend server after its last
  // event, and restarted before its first.
  kResumable,
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REPEAT_RULE_H_
