#ifndef HTTP_TESTS_RAW_CONNECTION_H_
#define HTTP_TESTS_RAW_CONNECTION_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>

namespace godwit::http {

// A blocking TCP connection to a port of this machine, for requests that no
// HTTP library would send. Reads time out after 20 s.
class RawConnection {
 public:
  explicit RawConnection(uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
    const timeval limit{20, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~RawConnection() { Close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Whether the peer accepted the connection.
  bool connected() const noexcept { return connected_; }

  void Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += static_cast<size_t>(count);
    }
  }

  // Reads until `text` was received or the peer closed; returns everything
  // received by this call.
  std::string ReadUntil(const std::string& text) {
    std::string received;
    std::array<char, 4096> piece{};
    while (text.empty() || received.find(text) == std::string::npos) {
      const ssize_t count = recv(fd_, piece.data(), piece.size(), 0);
      if (count <= 0) {
        break;
      }
      received.append(piece.data(), static_cast<size_t>(count));
    }
    return received;
  }

  std::string ReadToEnd() { return ReadUntil(""); }

  void CloseSending() { shutdown(fd_, SHUT_WR); }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  int fd_;
  bool connected_ = false;
};

}  // namespace godwit::http

#endif  // HTTP_TESTS_RAW_CONNECTION_H_
