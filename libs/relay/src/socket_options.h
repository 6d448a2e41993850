#ifndef RELAY_SOCKET_OPTIONS_H_
#define RELAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "base/millis.h"

namespace godwit::relay {

// Disables Nagle's algorithm and lets the kernel detect an unresponsive peer:
// by keep-alive probes on an idle connection, and by `ack_timeout` without an
// acknowledgement on one with unacknowledged bytes.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      base::Millis ack_timeout);

// Replaces `ack_timeout`; zero stands for the kernel's own, of minutes.
void SetAckTimeout(boost::asio::ip::tcp::socket& socket,
                   base::Millis ack_timeout);

}  // namespace godwit::relay

#endif  // RELAY_SOCKET_OPTIONS_H_
