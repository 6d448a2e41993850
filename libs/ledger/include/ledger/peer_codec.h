#ifndef LEDGER_PEER_CODEC_H_
#define LEDGER_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "ledger/peer.h"
#include "ledger/peer_message.h"

namespace godwit::ledger {

// CBOR encoding of messages between routers, and of the entry under which a
// router registers.
std::string EncodePeerMessage(const PeerMessage& message);
// Returns no value if the bytes are malformed or an amount is negative.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

std::string EncodePeer(const Peer& peer);
// Returns no value if the bytes are malformed.
std::optional<Peer> DecodePeer(std::string_view bytes);

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_CODEC_H_
