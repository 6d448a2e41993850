#ifndef GODWIT_EDGE_PEER_EVENT_H_
#define GODWIT_EDGE_PEER_EVENT_H_

#include <optional>
#include <string_view>

#include "base/endpoint.h"
#include "dispatch/dispatch_event.h"

namespace godwit::edge {

// Decodes a datagram of another router, on budgets or on backend servers.
// Returns no value if it is malformed or of an unknown type.
std::optional<dispatch::DispatchEvent> DecodePeerEvent(
    const base::Endpoint& from,
    std::string_view bytes);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_PEER_EVENT_H_
