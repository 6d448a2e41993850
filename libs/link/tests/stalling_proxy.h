#ifndef LINK_TESTS_STALLING_PROXY_H_
#define LINK_TESTS_STALLING_PROXY_H_

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace godwit::link {

// Relays TCP connections to a port of this machine. Stalled connections keep
// both sockets open but relay nothing; connections opened later work. Owned
// through shared_ptr; pending operations hold a reference too.
class StallingProxy : public std::enable_shared_from_this<StallingProxy> {
 public:
  StallingProxy(boost::asio::io_context& io, uint16_t target)
      : io_(io),
        target_(boost::asio::ip::address_v4::loopback(), target),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {}

  void Start() { Accept(); }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }

  // Stalls the connections opened so far.
  void Stall() { ++stalled_generations_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Direction {
    std::shared_ptr<Socket> from;
    std::shared_ptr<Socket> to;
    int generation = 0;
    std::array<char, 4096> buffer{};
  };

  void Accept() {
    acceptor_.async_accept(
        [this, self = shared_from_this()](auto ec, Socket socket) {
          if (ec) {
            return;
          }
          auto client = std::make_shared<Socket>(std::move(socket));
          auto target_socket = std::make_shared<Socket>(io_);
          target_socket->connect(target_);
          const int generation = stalled_generations_;
          Relay(std::make_shared<Direction>(
              Direction{client, target_socket, generation, {}}));
          Relay(std::make_shared<Direction>(
              Direction{target_socket, client, generation, {}}));
          Accept();
        });
  }

  void Relay(const std::shared_ptr<Direction>& direction) {
    direction->from->async_read_some(
        boost::asio::buffer(direction->buffer),
        [this, self = shared_from_this(), direction](auto ec, size_t size) {
          if (ec) {
            boost::system::error_code ignored;
            direction->to->close(ignored);
            return;
          }
          if (direction->generation == stalled_generations_) {
            boost::asio::write(
                *direction->to,
                boost::asio::buffer(direction->buffer.data(), size), ec);
          }
          Relay(direction);
        });
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> stalled_generations_{0};
};

}  // namespace godwit::link

#endif  // LINK_TESTS_STALLING_PROXY_H_
