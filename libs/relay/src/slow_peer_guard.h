#ifndef RELAY_SLOW_PEER_GUARD_H_
#define RELAY_SLOW_PEER_GUARD_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>

#include "base/millis.h"

namespace godwit::relay {

// Keeps the connection to a peer that reads slowly and has no room for the
// bytes sent, which the kernel would end after its acknowledgement timeout.
class SlowPeerGuard {
 public:
  // `ack_timeout` is that of the socket; see SetSocketOptions.
  explicit SlowPeerGuard(base::Millis ack_timeout);

  // Bytes were handed to the kernel.
  void OnSent(base::Millis now);
  // Returns true if the peer has no room and is gone. Call it every few tens of
  // milliseconds.
  bool IsPeerGone(base::Millis now, boost::asio::ip::tcp::socket& socket);
  // When the kernel took bytes for the peer, or the peer acknowledged some,
  // last as far as known from the calls above.
  base::Millis progressed_at() const noexcept { return progressed_at_; }

 private:
  const base::Millis ack_timeout_;
  const base::Millis check_interval_;
  // The next check of a peer that may not have acknowledged all bytes sent.
  std::optional<base::Millis> check_at_;
  base::Millis progressed_at_;
  uint64_t acknowledged_bytes_ = 0;
  // The kernel's timeout is off.
  bool has_no_room_ = false;
};

}  // namespace godwit::relay

#endif  // RELAY_SLOW_PEER_GUARD_H_
