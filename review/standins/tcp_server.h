#ifndef REVIEW_STANDINS_TCP_SERVER_H_
#define REVIEW_STANDINS_TCP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

namespace godwit::review {

class Connection;

// Listens on a free loopback port and runs a handler on a thread for each
// connection. Handlers must return soon after Stop().
class TcpServer {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit TcpServer(Handler handler);
  ~TcpServer();
  TcpServer(const TcpServer&) = delete;
  TcpServer& operator=(const TcpServer&) = delete;

  void Stop();
  uint16_t port() const noexcept { return port_; }
  bool stopping() const noexcept { return stopping_; }

 private:
  void Accept();

  const Handler handler_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_{0};
  std::thread accepting_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_TCP_SERVER_H_
