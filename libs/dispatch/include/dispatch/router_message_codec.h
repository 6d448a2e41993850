#ifndef DISPATCH_ROUTER_MESSAGE_CODEC_H_
#define DISPATCH_ROUTER_MESSAGE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "dispatch/router_message.h"

namespace godwit::dispatch {

// CBOR encoding of messages between routers. Their types differ from those of
// ledger::PeerMessage, which arrive at the same socket.
std::string EncodeRouterMessage(const RouterMessage& message);
// Returns no value if the bytes are malformed or of another type.
std::optional<RouterMessage> DecodeRouterMessage(std::string_view bytes);

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTER_MESSAGE_CODEC_H_
