#ifndef HTTP_TESTS_RESETTING_SERVER_H_
#define HTTP_TESTS_RESETTING_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace godwit::http {

// A TCP server that answers the first bytes of each connection and then resets
// it, while its peer may still be writing. Serves one connection at a time.
class ResettingServer {
 public:
  // Returns the bytes to send for the first bytes received.
  using Answer = std::function<std::string(const std::string& received)>;

  // `delay`: time between the answer and the reset.
  explicit ResettingServer(
      Answer answer,
      std::chrono::milliseconds delay = std::chrono::milliseconds(0))
      : answer_(std::move(answer)),
        delay_(delay),
        listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    if (bind(listener_, generic, length) == 0 &&
        listen(listener_, SOMAXCONN) == 0 &&
        getsockname(listener_, generic, &length) == 0) {
      port_ = ntohs(address.sin_port);
    }
    serving_ = std::thread([this] { Serve(); });
  }
  ~ResettingServer() {
    shutdown(listener_, SHUT_RDWR);
    serving_.join();
    close(listener_);
  }
  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  uint16_t port() const noexcept { return port_; }

 private:
  void Serve() {
    for (;;) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      std::array<char, 4096> piece{};
      const ssize_t count = recv(fd, piece.data(), piece.size(), 0);
      if (count > 0) {
        const std::string bytes =
            answer_(std::string(piece.data(), static_cast<size_t>(count)));
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(delay_);
      }
      // Closing with no time to linger resets the connection.
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      close(fd);
    }
  }

  const Answer answer_;
  const std::chrono::milliseconds delay_;
  int listener_;
  uint16_t port_ = 0;
  std::thread serving_;
};

}  // namespace godwit::http

#endif  // HTTP_TESTS_RESETTING_SERVER_H_
