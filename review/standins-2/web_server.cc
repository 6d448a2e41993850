#include "web_server.h"

#include <cstdlib>
#include <string>
#include <utility>

#include "http.h"

namespace godwit::review {
namespace {

constexpr int kPollMs = 20;
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr size_t kHeadEndBytes = 4;

}  // namespace

WebServer::WebServer(Record& record)
    : record_(record),
      listener_(Socket::Listen(&port_)),
      acceptor_([this] { Accept(); }) {}

WebServer::~WebServer() {
  is_stopping_ = true;
  acceptor_.join();
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

void WebServer::Accept() {
  while (!is_stopping_) {
    Socket accepted = listener_.Accept(kPollMs);
    if (accepted.is_open()) {
      connections_.emplace_back(
          [this, connection = std::move(accepted)]() mutable {
            Serve(std::move(connection));
          });
    }
  }
}

void WebServer::Serve(Socket connection) {
  std::string received;
  while (!is_stopping_) {
    const size_t end = received.find(kHeadEnd);
    const std::string head =
        end == std::string::npos ? "" : received.substr(0, end + kHeadEndBytes);
    const size_t length =
        std::strtoul(HeaderIn(head, "Content-Length").c_str(), nullptr, 10);
    if (!head.empty() && received.size() >= head.size() + length) {
      received.erase(0, head.size() + length);
      ++requests_;
      record_.Note("the web server gets " +
                   HeaderIn(head, "Godwitlatch-Attempt-Id") + " of tenant " +
                   HeaderIn(head, "Godwitlatch-Tenant"));
      if (!connection.Send("HTTP/1.1 404 Not Found\r\nContent-Length: 0"
                           "\r\n\r\n")) {
        return;
      }
      continue;
    }
    if (connection.IsReadable(kPollMs) &&
        !connection.Receive(&received, kPollMs)) {
      return;
    }
  }
}

}  // namespace godwit::review
