#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace godwit::relay {
namespace {

// Probes are sent after one second without traffic, one second apart, and two
// unanswered ones close the connection. With the defaults of the kernel, this
// takes hours.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbePeriodSeconds = 1;
constexpr int kProbesLost = 2;

void Set(int socket, int level, int option, int value) {
  // The connection remains usable on a kernel without the option.
  static_cast<void>(setsockopt(socket, level, option, &value, sizeof(value)));
}

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      base::Millis ack_timeout) {
  const int fd = socket.native_handle();
  Set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  Set(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbePeriodSeconds);
  Set(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbesLost);
  SetAckTimeout(socket, ack_timeout);
}

void SetAckTimeout(boost::asio::ip::tcp::socket& socket,
                   base::Millis ack_timeout) {
  Set(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(ack_timeout.count()));
}

}  // namespace godwit::relay
