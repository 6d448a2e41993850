#ifndef LEDGER_PEER_HELLO_H_
#define LEDGER_PEER_HELLO_H_

#include "ledger/peer.h"

namespace godwit::ledger {

// Notifies another router of the sender's current incarnation.
struct PeerHello {
  Peer peer;

  friend bool operator==(const PeerHello& a, const PeerHello& b) {
    return a.peer == b.peer;
  }
  friend bool operator!=(const PeerHello& a, const PeerHello& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_HELLO_H_
