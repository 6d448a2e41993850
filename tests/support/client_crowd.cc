#include "support/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

namespace godwit::support {
namespace {

constexpr int kReceiveBufferBytes = 2048;
constexpr size_t kBytesPerSend = size_t{64} * 1024;
constexpr int kPollMillis = 100;
constexpr int kAnswerPollMillis = 5000;
// Polls in a row in which the server takes nothing.
constexpr int kMaxSilentPolls = 15;

int Connect(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  return fd;
}

// Copies of `text` that fill one send.
std::string Repeat(const std::string& text) {
  std::string copies;
  while (!text.empty() && copies.size() < kBytesPerSend) {
    copies += text;
  }
  return copies;
}

}  // namespace

ClientCrowd::ClientCrowd(uint16_t port, size_t clients) : clients_(clients) {
  for (Client& client : clients_) {
    client.fd = Connect(port);
    client.ended = client.fd < 0;
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : clients_) {
    if (client.fd >= 0) {
      close(client.fd);
    }
  }
}

size_t ClientCrowd::SendSome(Client& client, const Script& script) {
  std::string_view bytes(script.opening);
  if (client.sent < bytes.size()) {
    bytes.remove_prefix(client.sent);
  } else if (!script.repeated.empty()) {
    bytes = script.repeated;
    bytes.remove_prefix((client.sent - script.opening.size()) % bytes.size());
  }
  const size_t left =
      script.max_bytes - std::min(script.max_bytes, client.sent);
  const ssize_t count =
      send(client.fd, bytes.data(), std::min(bytes.size(), left), MSG_NOSIGNAL);
  if (count < 0) {
    client.ended = errno != EAGAIN && errno != EWOULDBLOCK;
    return 0;
  }
  client.sent += static_cast<size_t>(count);
  client.ended = client.sent >= script.max_bytes;
  return static_cast<size_t>(count);
}

void ClientCrowd::Send(const Script& script,
                       const std::function<bool()>& stop) {
  Script sends = script;
  sends.repeated = Repeat(script.repeated);
  for (int silent = 0; silent < kMaxSilentPolls && !stop(); ++silent) {
    std::vector<pollfd> polled;
    for (const Client& client : clients_) {
      polled.push_back({client.ended ? -1 : client.fd, POLLOUT, 0});
    }
    if (std::all_of(clients_.begin(), clients_.end(),
                    [](const Client& client) { return client.ended; })) {
      return;
    }
    poll(polled.data(), polled.size(), kPollMillis);
    size_t taken = 0;
    for (size_t i = 0; i < clients_.size(); ++i) {
      if (!clients_[i].ended && polled[i].revents != 0) {
        taken += SendSome(clients_[i], sends);
      }
    }
    silent = taken > 0 ? 0 : silent;
  }
}

void ClientCrowd::SendOnce(const std::string& bytes) {
  for (Client& client : clients_) {
    if (!client.ended) {
      client.ended =
          send(client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0;
    }
  }
}

void ClientCrowd::AwaitAnswers() {
  for (const Client& client : clients_) {
    if (!client.ended) {
      pollfd readable{client.fd, POLLIN, 0};
      poll(&readable, 1, kAnswerPollMillis);
    }
  }
}

}  // namespace godwit::support
