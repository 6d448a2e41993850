#ifndef DISPATCH_ATTEMPT_FAILURE_H_
#define DISPATCH_ATTEMPT_FAILURE_H_

#include <cstdint>

namespace godwit::dispatch {

// Reason why an attempt at a backend server ended without a complete answer.
enum class AttemptFailure : uint8_t {
  // No byte can have reached the server.
  kNotSent,
  // The connection was closed or timed out; the request may have run.
  kLost,
  // The bytes received are not a valid answer; the request may have run.
  kDamaged,
  // The answer may belong to another request; this one may have run.
  kUnattributable,
  // The server sent events of a stream in another order than that in which they
  // are due.
  kOutOfOrder,
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ATTEMPT_FAILURE_H_
