#ifndef HTTP_SRC_CONNECTION_POOL_H_
#define HTTP_SRC_CONNECTION_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "base/millis.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::http {

// Idle connections to one server. I/O thread, except construction and the
// accessors of constant members.
class ConnectionPool {
 public:
  ConnectionPool(runtime::Runtime& runtime, std::string ip, uint16_t port);

  // Takes the most recently used connection that is still open and within the
  // maximum idle time.
  std::optional<boost::asio::ip::tcp::socket> TakeIdle();
  // Adds a connection on which nothing is in flight.
  void PutIdle(boost::asio::ip::tcp::socket socket);
  void MaxIdleTime(base::Millis span) noexcept { max_idle_time_ = span; }
  // Closes the idle connections.
  void Clear() { idle_.clear(); }

  runtime::Runtime& runtime() const noexcept { return runtime_; }
  const std::string& ip() const noexcept { return ip_; }
  uint16_t port() const noexcept { return port_; }
  // Value of the Host header field.
  std::string HostField() const;

 private:
  struct IdleConnection {
    boost::asio::ip::tcp::socket socket;
    std::chrono::steady_clock::time_point since;
  };

  void CloseExpired();

  runtime::Runtime& runtime_;
  const std::string ip_;
  const uint16_t port_;
  base::Millis max_idle_time_ = base::Seconds(5);
  std::deque<IdleConnection> idle_;
};

}  // namespace godwit::http

#endif  // HTTP_SRC_CONNECTION_POOL_H_
