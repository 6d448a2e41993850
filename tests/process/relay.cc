#include "relay.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <utility>

#include "runtime/runtime.h"

namespace godwit::process {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kBufferBytes = 16 * 1024;

// Forwards bytes between two connections, in both directions.
class ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
 public:
  ProxiedConnection(tcp::socket near, asio::io_context& io)
      : near_(std::move(near)), far_(io) {}

  void Open(uint16_t port) {
    const tcp::endpoint target(asio::ip::address_v4::loopback(), port);
    far_.async_connect(target, [self = shared_from_this()](error_code error) {
      if (error) {
        self->Close();
        return;
      }
      self->Read(self->near_, self->far_, self->near_bytes_);
      self->Read(self->far_, self->near_, self->far_bytes_);
    });
  }

  void Close() {
    error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
  }

  void Stall() { stalled_ = true; }

 private:
  using Bytes = std::array<char, kBufferBytes>;

  void Read(tcp::socket& from, tcp::socket& to, Bytes& bytes) {
    from.async_read_some(asio::buffer(bytes),
                         [this, self = shared_from_this(), &from, &to, &bytes](
                             error_code error, size_t count) {
                           if (stalled_) {
                             return;
                           }
                           if (error) {
                             Close();
                             return;
                           }
                           Write(from, to, bytes, count);
                         });
  }

  void Write(tcp::socket& from, tcp::socket& to, Bytes& bytes, size_t count) {
    asio::async_write(to, asio::buffer(bytes, count),
                      [this, self = shared_from_this(), &from, &to, &bytes](
                          error_code error, size_t /*written*/) {
                        if (error) {
                          Close();
                          return;
                        }
                        Read(from, to, bytes);
                      });
  }

  tcp::socket near_;
  tcp::socket far_;
  Bytes near_bytes_{};
  Bytes far_bytes_{};
  bool stalled_ = false;
};

}  // namespace

// Used on the I/O thread only.
class Relay::State : public std::enable_shared_from_this<Relay::State> {
 public:
  explicit State(asio::io_context& io)
      : io_(io),
        acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        port_(acceptor_.local_endpoint().port()) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code error, tcp::socket socket) {
          if (error) {
            return;
          }
          self->OnAccepted(std::move(socket));
          self->Accept();
        });
  }

  template <typename Change>
  void Post(Change change) {
    asio::post(io_, [self = shared_from_this(), change] { change(*self); });
  }

  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    CloseAll();
  }

  void CloseAll() {
    for (const auto& connection : connections_) {
      connection->Close();
    }
    connections_.clear();
  }

  void StallAll() {
    for (const auto& connection : connections_) {
      connection->Stall();
    }
  }

  void set_target(uint16_t target) { target_ = target; }
  void set_disconnected(bool disconnected) { disconnected_ = disconnected; }
  uint16_t port() const noexcept { return port_; }

 private:
  void OnAccepted(tcp::socket socket) {
    if (disconnected_ || target_ == 0) {
      return;
    }
    const auto connection =
        std::make_shared<ProxiedConnection>(std::move(socket), io_);
    connections_.insert(connection);
    connection->Open(target_);
  }

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  const uint16_t port_;
  uint16_t target_ = 0;
  bool disconnected_ = false;
  std::set<std::shared_ptr<ProxiedConnection>> connections_;
};

Relay::Relay(runtime::Runtime& runtime)
    : state_(std::make_shared<State>(runtime.io())) {
  state_->Post([](State& state) { state.Accept(); });
}

Relay::~Relay() {
  state_->Post([](State& state) { state.Close(); });
}

uint16_t Relay::port() const noexcept {
  return state_->port();
}

void Relay::ForwardTo(uint16_t port) {
  state_->Post([port](State& state) { state.set_target(port); });
}

void Relay::Disconnect() {
  state_->Post([](State& state) {
    state.set_disconnected(true);
    state.CloseAll();
  });
}

void Relay::Restore() {
  state_->Post([](State& state) { state.set_disconnected(false); });
}

void Relay::Stall() {
  state_->Post([](State& state) { state.StallAll(); });
}

}  // namespace godwit::process
