#ifndef GODWIT_EDGE_PEER_SOCKET_H_
#define GODWIT_EDGE_PEER_SOCKET_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/error.h"

namespace boost::asio {
class io_context;
}

namespace godwit::edge {

// Exchanges datagrams with other routers. Any datagram may be lost. Use it on
// the thread of the I/O context only.
class PeerSocket {
 public:
  using ReceiveCallback =
      std::function<void(const base::Endpoint& from, std::string_view bytes)>;

  PeerSocket(boost::asio::io_context& io, ReceiveCallback on_received);

  // False if the address can't be used; see last_error().
  bool Listen(const base::Endpoint& address);
  // Never blocks: a datagram is dropped if the send buffer is full.
  void Send(const base::Endpoint& to, const std::string& bytes);
  const base::Error& last_error() const noexcept { return error_; }

 private:
  void Receive();

  // Messages are a few hundred bytes.
  static constexpr size_t kMaxDatagramBytes = 2048;

  boost::asio::ip::udp::socket socket_;
  const ReceiveCallback on_received_;
  std::array<char, kMaxDatagramBytes> buffer_;
  boost::asio::ip::udp::endpoint from_;
  base::Error error_;
};

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_PEER_SOCKET_H_
