#include "connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <sstream>

#include "clock.h"

namespace godwit::review {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr int kHexRadix = 16;

void ParseHead(const std::string& head, Message& message) {
  std::istringstream lines(head);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
}

}  // namespace

int Message::Status() const {
  const size_t space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space);
}

std::string Message::Target() const {
  const size_t first = start_line.find(' ');
  const size_t last = start_line.rfind(' ');
  return first == std::string::npos || first == last
             ? ""
             : start_line.substr(first + 1, last - first - 1);
}

Connection::Connection(int fd) : fd_(fd) {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection() {
  close(fd_);
}

std::unique_ptr<Connection> Connection::Open(uint16_t port,
                                             int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return nullptr;
  }
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

Connection::Received Connection::Receive(int64_t timeout_ms, size_t limit) {
  if (ended_) {
    return Received::kEnd;
  }
  pollfd waiting{fd_, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(std::max<int64_t>(0, timeout_ms))) <=
      0) {
    return Received::kNothing;
  }
  std::array<char, kReadBytes> buffer;
  const ssize_t size =
      recv(fd_, buffer.data(), std::min(limit, buffer.size()), 0);
  if (size <= 0) {
    ended_ = true;
    return Received::kEnd;
  }
  received_.append(buffer.data(), static_cast<size_t>(size));
  return Received::kBytes;
}

bool Connection::TakeChunks(std::string& body) {
  for (;;) {
    const size_t end = received_.find(kLineEnd);
    if (end == std::string::npos) {
      return false;
    }
    const size_t size = std::strtoull(received_.c_str(), nullptr, kHexRadix);
    const size_t total = end + kLineEnd.size() + size + kLineEnd.size();
    if (received_.size() < total) {
      return false;
    }
    body += received_.substr(end + kLineEnd.size(), size);
    received_.erase(0, total);
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message> Connection::Read(int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  size_t end = received_.find(kHeadEnd);
  while (end == std::string::npos) {
    if (Receive(deadline - NowMs()) != Received::kBytes) {
      return std::nullopt;
    }
    end = received_.find(kHeadEnd);
  }
  Message message;
  ParseHead(received_.substr(0, end), message);
  received_.erase(0, end + kHeadEnd.size());
  const bool is_chunked = message.Header("transfer-encoding") == "chunked";
  const std::string length = message.Header("content-length");
  const size_t size = std::strtoull(length.c_str(), nullptr, 10);
  for (;;) {
    if (is_chunked ? TakeChunks(message.body) : received_.size() >= size) {
      message.complete = true;
      break;
    }
    if (Receive(deadline - NowMs()) != Received::kBytes) {
      break;
    }
  }
  if (!is_chunked) {
    message.body = received_.substr(0, std::min(size, received_.size()));
    received_.erase(0, message.body.size());
  }
  return message;
}

std::string Connection::ReadBytes(size_t limit, int64_t timeout_ms) {
  if (received_.empty()) {
    Receive(timeout_ms, limit);
  }
  std::string bytes = received_.substr(0, limit);
  received_.erase(0, bytes.size());
  return bytes;
}

bool Connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool Connection::IsClosedByPeer(int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  for (;;) {
    const Received received = Receive(deadline - NowMs());
    if (received != Received::kBytes) {
      return received == Received::kEnd;
    }
  }
}

}  // namespace godwit::review
