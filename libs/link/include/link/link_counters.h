#ifndef LINK_LINK_COUNTERS_H_
#define LINK_LINK_COUNTERS_H_

#include <cstdint>
#include <tuple>

namespace godwit::link {

// Peer faults detected by a Transport since it was built.
struct LinkCounters {
  // Peers rejected because of another protocol version or fleet, a missing or
  // invalid fleet certificate, or a failed WebSocket handshake.
  int64_t rejected_peers = 0;
  // Links whose first frame was not Hello, or that sent Hello twice.
  int64_t unexpected_frames = 0;
  // Frames of an unknown type; the link stays up.
  int64_t unknown_frames = 0;
  // Frames that do not decode to a message; the link is closed.
  int64_t malformed_frames = 0;
  // Frames above the size limit; the link is closed.
  int64_t oversized_frames = 0;
  // Links closed because nothing was received within the receive timeout.
  int64_t unresponsive_links = 0;

  friend bool operator==(const LinkCounters& a, const LinkCounters& b) {
    return std::tie(a.rejected_peers, a.unexpected_frames, a.unknown_frames,
                    a.malformed_frames, a.oversized_frames,
                    a.unresponsive_links) ==
           std::tie(b.rejected_peers, b.unexpected_frames, b.unknown_frames,
                    b.malformed_frames, b.oversized_frames,
                    b.unresponsive_links);
  }
  friend bool operator!=(const LinkCounters& a, const LinkCounters& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_LINK_COUNTERS_H_
