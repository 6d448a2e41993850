#include "socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace godwit::review {
namespace {

constexpr int kBacklog = 512;
// Below the range of ephemeral ports, so that no connection takes one before a
// process listens there.
constexpr int kFirstPort = 12'000;
constexpr int kPortCount = 18'000;
// Cases that run side by side begin so far apart.
constexpr int kPortsOfCase = 100;

sockaddr_in Address(uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

const sockaddr* Generic(const sockaddr_in* address) {
  return reinterpret_cast<const sockaddr*>(address);
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Socket::~Socket() {
  Close();
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

Socket Socket::Connect(uint16_t port) {
  Socket connected(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = Address(port);
  if (connect(connected.fd_, Generic(&address), sizeof(address)) != 0) {
    connected.Close();
    return connected;
  }
  SetNoDelay(connected.fd_);
  return connected;
}

Socket Socket::Listen(uint16_t* port) {
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = Address(0);
  socklen_t size = sizeof(address);
  if (bind(listener.fd_, Generic(&address), sizeof(address)) != 0 ||
      listen(listener.fd_, kBacklog) != 0 ||
      getsockname(listener.fd_, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    listener.Close();
  }
  *port = ntohs(address.sin_port);
  return listener;
}

Socket Socket::Accept(int timeout_ms) const {
  if (!IsReadable(timeout_ms)) {
    return Socket();
  }
  Socket accepted(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  if (accepted.is_open()) {
    SetNoDelay(accepted.fd_);
  }
  return accepted;
}

bool Socket::Send(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t written =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += static_cast<size_t>(written);
  }
  return true;
}

bool Socket::Receive(std::string* bytes, int timeout_ms) const {
  if (!IsReadable(timeout_ms)) {
    return false;
  }
  char buffer[16 * 1024];
  const ssize_t received = recv(fd_, buffer, sizeof(buffer), 0);
  if (received <= 0) {
    return false;
  }
  bytes->append(buffer, static_cast<size_t>(received));
  return true;
}

bool Socket::IsReadable(int timeout_ms) const {
  pollfd entry = {fd_, POLLIN, 0};
  return poll(&entry, 1, timeout_ms) > 0;
}

void Socket::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

void Socket::Reset() {
  const linger none = {1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  Close();
}

uint16_t FreePort() {
  static int next = getpid() * kPortsOfCase % kPortCount;
  for (int tried = 0; tried < kPortCount; ++tried) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPortCount);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address(port);
    const bool is_free = bind(probe, Generic(&address), sizeof(address)) == 0;
    close(probe);
    if (is_free) {
      return port;
    }
  }
  return 0;
}

}  // namespace godwit::review
