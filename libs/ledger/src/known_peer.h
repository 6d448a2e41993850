#ifndef LEDGER_KNOWN_PEER_H_
#define LEDGER_KNOWN_PEER_H_

#include <optional>

#include "base/millis.h"
#include "ledger/peer.h"

namespace godwit::ledger {

// A router of the fleet, as last listed or as it announced itself last.
struct KnownPeer {
  Peer peer;
  base::Millis last_confirmed_at;
  // When its last PeerHello was received. For a while, lists of peers may be
  // older than that.
  std::optional<base::Millis> hello_received_at;
};

}  // namespace godwit::ledger

#endif  // LEDGER_KNOWN_PEER_H_
