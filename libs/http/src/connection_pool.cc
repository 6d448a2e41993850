#include "connection_pool.h"

#include <utility>

namespace godwit::http {
namespace {

using boost::asio::ip::tcp;

constexpr size_t kMaxIdleConnections = 64;

// Returns false when the peer closed the connection or sent unsolicited data.
bool IsReusable(tcp::socket* socket) {
  char byte = 0;
  boost::system::error_code ec;
  socket->non_blocking(true, ec);
  socket->receive(boost::asio::buffer(&byte, 1),
                  boost::asio::socket_base::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

}  // namespace

ConnectionPool::ConnectionPool(runtime::Runtime& runtime,
                               std::string ip,
                               uint16_t port)
    : runtime_(runtime), ip_(std::move(ip)), port_(port) {}

void ConnectionPool::CloseExpired() {
  const auto earliest_valid = std::chrono::steady_clock::now() -
                              std::chrono::milliseconds(max_idle_time_.count());
  while (!idle_.empty() && idle_.front().since < earliest_valid) {
    idle_.pop_front();
  }
}

std::optional<tcp::socket> ConnectionPool::TakeIdle() {
  CloseExpired();
  while (!idle_.empty()) {
    tcp::socket socket = std::move(idle_.back().socket);
    idle_.pop_back();
    if (IsReusable(&socket)) {
      return socket;
    }
  }
  return std::nullopt;
}

void ConnectionPool::PutIdle(tcp::socket socket) {
  CloseExpired();
  if (max_idle_time_ <= base::Millis()) {
    return;
  }
  if (idle_.size() >= kMaxIdleConnections) {
    idle_.pop_front();
  }
  idle_.push_back({std::move(socket), std::chrono::steady_clock::now()});
}

std::string ConnectionPool::HostField() const {
  const bool v6 = ip_.find(':') != std::string::npos;
  return (v6 ? "[" + ip_ + "]" : ip_) + ":" + std::to_string(port_);
}

}  // namespace godwit::http
