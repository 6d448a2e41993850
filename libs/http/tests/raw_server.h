#ifndef HTTP_TESTS_RAW_SERVER_H_
#define HTTP_TESTS_RAW_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace godwit::http {

// A TCP server that answers requests without bodies with bytes that no HTTP
// library would send. Uses one thread for each connection.
class RawServer {
 public:
  // Returns the bytes to send, possibly none. `connection` counts from 0.
  using Answer =
      std::function<std::string(int connection, const std::string& request)>;

  // `closes`: each connection is closed after its first answer.
  explicit RawServer(Answer answer, bool closes = false)
      : answer_(std::move(answer)),
        closes_(closes),
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
    accepting_ = std::thread([this] { Accept(); });
  }

  ~RawServer() {
    shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    close(listener_);
    for (const int fd : connections_) {
      shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& serving : serving_) {
      serving.join();
    }
    for (const int fd : connections_) {
      close(fd);
    }
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  uint16_t port() const noexcept { return port_; }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      const auto number = static_cast<int>(connections_.size());
      connections_.push_back(fd);
      serving_.emplace_back([this, fd, number] { Serve(fd, number); });
    }
  }

  void Serve(int fd, int number) {
    std::string received;
    std::array<char, 4096> piece{};
    for (;;) {
      const ssize_t count = recv(fd, piece.data(), piece.size(), 0);
      if (count <= 0) {
        return;
      }
      received.append(piece.data(), static_cast<size_t>(count));
      if (received.find("\r\n\r\n") == std::string::npos) {
        continue;
      }
      const std::string bytes = answer_(number, std::exchange(received, {}));
      if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        return;
      }
      if (closes_) {
        shutdown(fd, SHUT_WR);
        return;
      }
    }
  }

  Answer answer_;
  const bool closes_;
  int listener_;
  uint16_t port_ = 0;
  // Accessed only by the accepting thread until it is joined.
  std::vector<int> connections_;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace godwit::http

#endif  // HTTP_TESTS_RAW_SERVER_H_
