#include "tcp_server.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "clock.h"
#include "connection.h"

namespace godwit::review {
namespace {

constexpr int kBacklog = 1024;
constexpr int kPollMs = 20;
constexpr int kCouldNotRun = 2;

}  // namespace

TcpServer::TcpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (listener_ < 0 || bind(listener_, raw, size) != 0 ||
      listen(listener_, kBacklog) != 0 ||
      getsockname(listener_, raw, &size) != 0) {
    std::perror("can't listen");
    std::exit(kCouldNotRun);
  }
  port_ = ntohs(address.sin_port);
  accepting_ = std::thread([this] { Accept(); });
}

TcpServer::~TcpServer() {
  Stop();
}

void TcpServer::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  accepting_.join();
  close(listener_);
  while (open_ > 0) {
    SleepMs(kPollMs);
  }
}

void TcpServer::Accept() {
  while (!stopping_) {
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) {
      continue;
    }
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    ++open_;
    std::thread([this, fd] {
      {
        Connection connection(fd);
        handler_(connection);
      }
      --open_;
    }).detach();
  }
}

}  // namespace godwit::review
