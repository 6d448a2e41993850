#ifndef DISPATCH_REPEAT_RULE_H_
#define DISPATCH_REPEAT_RULE_H_

#include <cstdint>

namespace godwit::dispatch {

// What may be done again for a request of a route.
enum class RepeatRule : uint8_t {
  // May run any number of times.
  kIdempotent,
  // Runs once at most for each request of a caller.
  kAtMostOnce,
  // A stream that may go on at another backend server after its last event,
  // and may be started again before its first.
  kResumable,
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REPEAT_RULE_H_
