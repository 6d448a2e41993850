#ifndef DISPATCH_PEER_MESSAGE_RECEIVED_H_
#define DISPATCH_PEER_MESSAGE_RECEIVED_H_

#include "base/endpoint.h"
#include "ledger/peer_message.h"

namespace godwit::dispatch {

// Event: another router sent a message.
struct PeerMessageReceived {
  base::Endpoint from;
  ledger::PeerMessage message;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PEER_MESSAGE_RECEIVED_H_
