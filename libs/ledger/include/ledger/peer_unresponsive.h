#ifndef LEDGER_PEER_UNRESPONSIVE_H_
#define LEDGER_PEER_UNRESPONSIVE_H_

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/peer.h"

namespace godwit::ledger {

// Record: a router did not answer a loan request and receives no further ones
// for MeteredPolicy::unresponsive_backoff.
struct PeerUnresponsive {
  Peer peer;
  base::BudgetId budget;
  // Time without an answer.
  base::Millis waited;
};

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_UNRESPONSIVE_H_
