#ifndef LEDGER_PEER_MESSAGE_H_
#define LEDGER_PEER_MESSAGE_H_

#include <variant>

#include "ledger/loan_reply.h"
#include "ledger/loan_request.h"
#include "ledger/peer_hello.h"

namespace godwit::ledger {

// What routers of a fleet tell each other, a datagram each.
using PeerMessage = std::variant<LoanRequest, LoanReply, PeerHello>;

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_MESSAGE_H_
