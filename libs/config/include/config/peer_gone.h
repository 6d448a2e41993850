#ifndef CONFIG_PEER_GONE_H_
#define CONFIG_PEER_GONE_H_

#include "base/ids.h"

namespace godwit::config {

// Event of Spread: the link to a peer closed.
struct PeerGone {
  base::ProcessId peer;

  friend bool operator==(const PeerGone& a, const PeerGone& b) {
    return a.peer == b.peer;
  }
  friend bool operator!=(const PeerGone& a, const PeerGone& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_PEER_GONE_H_
