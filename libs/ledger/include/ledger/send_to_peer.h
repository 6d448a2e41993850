#ifndef LEDGER_SEND_TO_PEER_H_
#define LEDGER_SEND_TO_PEER_H_

#include "base/endpoint.h"
#include "ledger/peer_message.h"

namespace godwit::ledger {

// Command: send a message to another router. The message may be lost.
struct SendToPeer {
  base::Endpoint to;
  PeerMessage message;
};

}  // namespace godwit::ledger

#endif  // LEDGER_SEND_TO_PEER_H_
