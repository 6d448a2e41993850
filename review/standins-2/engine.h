#ifndef REVIEW_STANDINS_2_ENGINE_H_
#define REVIEW_STANDINS_2_ENGINE_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

#include "record.h"
#include "socket.h"

namespace godwit::review {

// A sound model engine: it answers each request with a stream of numbered
// events. One thread for each connection.
class Engine {
 public:
  Engine(std::string instance, Record& record);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  const std::string& instance() const noexcept { return instance_; }
  uint16_t port() const noexcept { return port_; }

 private:
  void Accept();
  void Serve(Socket connection);
  bool AnswerRequest(const Socket& connection, const std::string& head);

  const std::string instance_;
  Record& record_;
  uint16_t port_ = 0;
  const Socket listener_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> running_{0};
  std::list<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_ENGINE_H_
