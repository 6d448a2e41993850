#ifndef RELAY_PEER_PROGRESS_H_
#define RELAY_PEER_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "base/millis.h"

namespace godwit::relay {

// What the kernel knows of the bytes sent on a connection.
struct PeerProgress {
  // Bytes that the peer has not acknowledged or that wait to be sent.
  bool has_unacknowledged = false;
  // Segments on their way, and unanswered probes of a peer without room.
  uint32_t in_flight = 0;
  uint32_t unanswered_probes = 0;
  // Time since the peer acknowledged anything, probes included.
  base::Millis since_acknowledgement;
  // Bytes that the peer has acknowledged since the connection was opened.
  uint64_t acknowledged_bytes = 0;

  friend bool operator==(const PeerProgress& a, const PeerProgress& b) {
    return std::tie(a.has_unacknowledged, a.in_flight, a.unanswered_probes,
                    a.acknowledged_bytes, a.since_acknowledgement) ==
           std::tie(b.has_unacknowledged, b.in_flight, b.unanswered_probes,
                    b.acknowledged_bytes, b.since_acknowledgement);
  }
  friend bool operator!=(const PeerProgress& a, const PeerProgress& b) {
    return !(a == b);
  }
};

// Reads the state of a TCP socket; empty where the kernel does not state it.
std::optional<PeerProgress> ProgressOf(int socket);

// True if bytes wait for a peer that has no room for them. The kernel probes it
// at growing intervals, and ends the connection after its timeout even if each
// probe is acknowledged, as by a peer that reads slowly.
bool HasNoRoom(const PeerProgress& progress);

// True if a peer without room has acknowledged no probe for `timeout`.
bool IsGone(const PeerProgress& progress, base::Millis timeout);

}  // namespace godwit::relay

#endif  // RELAY_PEER_PROGRESS_H_
