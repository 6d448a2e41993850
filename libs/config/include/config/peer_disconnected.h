#ifndef CONFIG_PEER_DISCONNECTED_H_
#define CONFIG_PEER_DISCONNECTED_H_

#include "base/ids.h"

namespace godwit::config {

// Event of ConfigSync: the link to a peer closed.
struct PeerDisconnected {
  base::ProcessId peer;

  friend bool operator==(const PeerDisconnected& a, const PeerDisconnected& b) {
    return a.peer == b.peer;
  }
  friend bool operator!=(const PeerDisconnected& a, const PeerDisconnected& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_PEER_DISCONNECTED_H_
