#ifndef RELAY_SOCKET_OPTIONS_H_
#define RELAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "base/millis.h"

namespace godwit::relay {

// Sends small writes at once, and lets the kernel find a peer that is silent:
// keep-alive probes on an idle connection, and `ack_timeout` without an
// acknowledgement on one with bytes on the way.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      base::Millis ack_timeout);

}  // namespace godwit::relay

#endif  // RELAY_SOCKET_OPTIONS_H_
