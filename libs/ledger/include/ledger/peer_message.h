#ifndef LEDGER_PEER_MESSAGE_H_
#define LEDGER_PEER_MESSAGE_H_

#include <variant>

#include "ledger/clock_reply.h"
#include "ledger/clock_request.h"
#include "ledger/loan_reply.h"
#include "ledger/loan_request.h"
#include "ledger/peer_hello.h"

namespace godwit::ledger {

// Messages between the routers of a fleet, one per datagram.
using PeerMessage =
    std::variant<LoanRequest, LoanReply, PeerHello, ClockRequest, ClockReply>;

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_MESSAGE_H_
