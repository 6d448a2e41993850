#include "engine.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "deployment.h"
#include "http.h"

namespace godwit::review {
namespace {

constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kFirstEventDelay(30);
constexpr std::chrono::milliseconds kEventPause(10);
constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr size_t kHeadEndBytes = 4;

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

}  // namespace

Engine::Engine(std::string instance, Record& record)
    : instance_(std::move(instance)),
      record_(record),
      listener_(Socket::Listen(&port_)),
      acceptor_([this] { Accept(); }) {}

Engine::~Engine() {
  is_stopping_ = true;
  acceptor_.join();
  for (std::thread& connection : connections_) {
    connection.join();
  }
}

void Engine::Accept() {
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

void Engine::Serve(Socket connection) {
  std::string received;
  while (!is_stopping_) {
    const size_t end = received.find(kHeadEnd);
    const std::string head =
        end == std::string::npos ? "" : received.substr(0, end + kHeadEndBytes);
    const size_t length =
        std::strtoul(HeaderIn(head, "Content-Length").c_str(), nullptr, 10);
    if (!head.empty() && received.size() >= head.size() + length) {
      received.erase(0, head.size() + length);
      if (!AnswerRequest(connection, head)) {
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

bool Engine::AnswerRequest(const Socket& connection, const std::string& head) {
  const std::string id = HeaderIn(head, "Godwitlatch-Attempt-Id");
  const std::string common =
      "Godwitlatch-Attempt-Id: " + id +
      "\r\nGodwitlatch-Engine-Load: " + std::to_string(running_.load()) +
      ",0," + std::to_string(kEngineSlots) + "\r\n";
  if (HeaderIn(head, "Godwitlatch-Expect-Instance") != instance_) {
    return connection.Send("HTTP/1.1 421 Misdirected Request\r\n" + common +
                           "Godwitlatch-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
  }
  record_.OnRun(id, instance_);
  ++running_;
  std::this_thread::sleep_for(kFirstEventDelay);
  if (head.find(kDeskPath) != std::string::npos) {
    --running_;
    return connection.Send("HTTP/1.1 200 OK\r\n" + common +
                           "Godwitlatch-Response-Seal: " + id +
                           "\r\nContent-Length: 4\r\n\r\ndone");
  }
  bool is_open = connection.Send("HTTP/1.1 200 OK\r\n" + common +
                                 "Godwitlatch-Response-Seal: " + id +
                                 "\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n");
  for (int event = 1; event <= kEvents && is_open; ++event) {
    std::this_thread::sleep_for(kEventPause);
    // A caller or a router that leaves ends the run.
    is_open = !connection.IsReadable(0) &&
              connection.Send(Chunk("id: " + std::to_string(event) +
                                    "\ndata: " + id + "\n\n"));
  }
  --running_;
  return is_open && connection.Send("0\r\n\r\n");
}

}  // namespace godwit::review
