#ifndef LEDGER_PEER_HELLO_H_
#define LEDGER_PEER_HELLO_H_

#include "base/millis.h"
#include "ledger/peer.h"

namespace godwit::ledger {

// Notifies another router of the sender's current incarnation.
struct PeerHello {
  Peer peer;
  // Wall clock of the sender; zero if it is not known.
  base::Millis wall_time;

  friend bool operator==(const PeerHello& a, const PeerHello& b) {
    return a.peer == b.peer && a.wall_time == b.wall_time;
  }
  friend bool operator!=(const PeerHello& a, const PeerHello& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_HELLO_H_
