#ifndef GUARD_CONNECTION_PHASE_H_
#define GUARD_CONNECTION_PHASE_H_

#include <cstddef>
#include <cstdint>

namespace godwit::guard {

// What a connection of a caller does, in the order in which connections give
// way to new ones.
enum class ConnectionPhase : uint8_t {
  // The last answer has left; the caller is to close its side.
  kClosing,
  // No request has been received, or a part of the head of one.
  kReceivingHead,
  // Waits for a further request.
  kIdle,
  kReceivingBody,
  // The caller has read nothing of its answer for a while.
  kUnread,
  // A request is served, or its answer is being read.
  kServed,
};

inline constexpr size_t kConnectionPhases = 6;

}  // namespace godwit::guard

#endif  // GUARD_CONNECTION_PHASE_H_
