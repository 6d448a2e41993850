#include "peer_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace godwit::edge {

using boost::asio::ip::udp;

PeerSocket::PeerSocket(boost::asio::io_context& io, ReceiveCallback on_received)
    : socket_(io), on_received_(std::move(on_received)) {}

bool PeerSocket::Listen(const base::Endpoint& address) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  const udp::endpoint local(ip, address.port);
  if (!error) {
    socket_.open(local.protocol(), error);
  }
  if (!error) {
    socket_.bind(local, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    error_ = base::Error(
        base::ErrorKind::kUnavailable,
        "can't listen on " + address.ToText() + ": " + error.message(),
        "free the address or set another one");
    return false;
  }
  Receive();
  return true;
}

void PeerSocket::Send(const base::Endpoint& to, const std::string& bytes) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(to.ip, error);
  if (!error) {
    // A datagram that can't be sent counts as lost; its sender repeats it.
    socket_.send_to(boost::asio::buffer(bytes), udp::endpoint(ip, to.port), 0,
                    error);
  }
}

void PeerSocket::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), from_,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          on_received_({from_.address().to_string(), from_.port()},
                       std::string_view(buffer_.data(), size));
        }
        Receive();
      });
}

}  // namespace godwit::edge
