#ifndef DISPATCH_ATTEMPT_FAILURE_H_
#define DISPATCH_ATTEMPT_FAILURE_H_

#include <cstdint>

namespace godwit::dispatch {

// Why an attempt at a backend server brought no whole answer.
enum class AttemptFailure : uint8_t {
  // No byte can have reached the server.
  kNotSent,
  // The connection closed or was silent; the request may have run.
  kLost,
  // The bytes received are not a sound answer; it may have run.
  kDamaged,
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_FAILURE_H_
