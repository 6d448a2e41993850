#ifndef RELAY_CLOSED_CONNECTIONS_H_
#define RELAY_CLOSED_CONNECTIONS_H_

#include <cstddef>
#include <tuple>

namespace godwit::relay {

// Connections of callers that a server closed since a limit was reached, by
// that limit.
struct ClosedConnections {
  // Gave their places to new ones.
  size_t replaced = 0;
  // New ones that found no place, since all others were served.
  size_t refused = 0;
  // Held most of the memory for buffers.
  size_t buffers = 0;
  // Had read nothing of their answer for too long.
  size_t unread = 0;
  // Sent too much behind a request that was not answered yet.
  size_t pipelined = 0;
  // Sent a body slowly while others found no memory.
  size_t slow_bodies = 0;
  // Failed attempts to accept one, for lack of file descriptors.
  size_t not_accepted = 0;

  friend bool operator==(const ClosedConnections& a,
                         const ClosedConnections& b) {
    return std::tie(a.replaced, a.refused, a.buffers, a.unread, a.pipelined,
                    a.slow_bodies, a.not_accepted) ==
           std::tie(b.replaced, b.refused, b.buffers, b.unread, b.pipelined,
                    b.slow_bodies, b.not_accepted);
  }
  friend bool operator!=(const ClosedConnections& a,
                         const ClosedConnections& b) {
    return !(a == b);
  }
};

}  // namespace godwit::relay

#endif  // RELAY_CLOSED_CONNECTIONS_H_
