#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>

namespace review {
namespace {

constexpr int64_t kIdleLimitMs = 60'000;
constexpr int kBacklog = 1024;
constexpr int kHexRadix = 16;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return "";
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

uint16_t PortOf(int fd) {
  sockaddr_in address = {};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int Bind(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

Connection::Connection(int fd) : fd_(fd) {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

int Connection::Dial(uint16_t port, int64_t limit_ms, int receive_bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (receive_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    pollfd entry = {fd, POLLOUT, 0};
    int error = errno;
    if (error == EINPROGRESS &&
        poll(&entry, 1, static_cast<int>(limit_ms)) == 1) {
      socklen_t size = sizeof(error);
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

bool Connection::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd_, bytes.data() + sent, bytes.size() - sent,
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      continue;
    }
    pollfd entry = {fd_, POLLOUT, 0};
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    if (poll(&entry, 1, static_cast<int>(kIdleLimitMs)) <= 0) {
      return false;
    }
  }
  return true;
}

bool Connection::Fill(int64_t deadline) {
  while (true) {
    const int64_t left = deadline - NowMs();
    pollfd entry = {fd_, POLLIN, 0};
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count > 0) {
      buffer_.append(bytes, static_cast<size_t>(count));
      return true;
    }
    if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
  }
}

bool Connection::ReadLine(std::string* line, int64_t deadline) {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(deadline)) {
      return false;
    }
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(size_t count, std::string* bytes, int64_t deadline) {
  while (buffer_.size() < count) {
    if (!Fill(deadline)) {
      return false;
    }
  }
  *bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return true;
}

bool Connection::ReadHead(Message* message, int64_t deadline) {
  *message = Message();
  if (!ReadLine(&message->start, deadline)) {
    return false;
  }
  const size_t first = message->start.find(' ');
  if (first == std::string::npos) {
    return false;
  }
  const size_t second = message->start.find(' ', first + 1);
  message->method = message->start.substr(0, first);
  message->target = message->start.substr(first + 1, second - first - 1);
  message->status =
      static_cast<int>(std::strtol(message->target.c_str(), nullptr, 10));
  std::string line;
  while (true) {
    if (!ReadLine(&line, deadline)) {
      return false;
    }
    if (line.empty()) {
      return true;
    }
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      message->headers[Lower(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
    }
  }
}

bool Connection::ReadBody(
    Message* message,
    int64_t deadline,
    const std::function<void(const std::string&)>& on_chunk) {
  std::string bytes;
  if (Lower(message->Header("transfer-encoding")) != "chunked") {
    const auto length = static_cast<size_t>(
        std::strtoull(message->Header("content-length").c_str(), nullptr, 10));
    if (!ReadBytes(length, &bytes, deadline)) {
      return false;
    }
    if (on_chunk) {
      on_chunk(bytes);
    }
    message->body += bytes;
    return true;
  }
  std::string line;
  while (true) {
    if (!ReadLine(&line, deadline)) {
      return false;
    }
    const auto size =
        static_cast<size_t>(std::strtoull(line.c_str(), nullptr, kHexRadix));
    if (!ReadBytes(size + 2, &bytes, deadline)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    bytes.resize(size);
    if (on_chunk) {
      on_chunk(bytes);
    }
    message->body += bytes;
  }
}

size_t Connection::ReadAvailable() {
  size_t total = buffer_.size();
  buffer_.clear();
  char bytes[16384];
  ssize_t count = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
  while (count > 0) {
    total += static_cast<size_t>(count);
    count = recv(fd_, bytes, sizeof(bytes), MSG_DONTWAIT);
  }
  return total;
}

bool Connection::IsClosedByPeer() {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void Connection::Shutdown() {
  shutdown(fd_, SHUT_RDWR);
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = Bind(0);
  listen(listener_, kBacklog);
  port_ = PortOf(listener_);
  acceptor_ = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  stops_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [fd, connection] : connections_) {
      connection->Shutdown();
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void HttpServer::Accept() {
  while (!stops_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
}

void HttpServer::Serve(int fd) {
  Connection connection(fd);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_[fd] = &connection;
  }
  Message message;
  while (!stops_ && connection.ReadHead(&message, NowMs() + kIdleLimitMs) &&
         connection.ReadBody(&message, NowMs() + kIdleLimitMs) &&
         handler_(connection, message)) {
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(fd);
}

uint16_t FreePort() {
  const int fd = Bind(0);
  const uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

std::string Response(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return text;
}

}  // namespace review
