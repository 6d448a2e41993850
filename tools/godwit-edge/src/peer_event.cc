#include "peer_event.h"

#include "dispatch/router_message_codec.h"
#include "ledger/peer_codec.h"

namespace godwit::edge {

std::optional<dispatch::DispatchEvent> DecodePeerEvent(
    const base::Endpoint& from,
    std::string_view bytes) {
  if (const auto message = ledger::DecodePeerMessage(bytes)) {
    return dispatch::PeerMessageReceived{from, *message};
  }
  if (const auto message = dispatch::DecodeRouterMessage(bytes)) {
    return dispatch::RouterMessageReceived{from, *message};
  }
  return std::nullopt;
}

}  // namespace godwit::edge
