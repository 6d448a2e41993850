#ifndef REVIEW_STANDINS_MODEL_ENGINE_H_
#define REVIEW_STANDINS_MODEL_ENGINE_H_

#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>

#include "tcp_server.h"

namespace godwit::review {

class Connection;
class Trial;

// A model engine that answers the requests of a PrepaidLoad. Like most engines,
// it drops a request whose connection was closed before it ran, unless it is
// one of the others.
class ModelEngine {
 public:
  ModelEngine(Trial& trial, size_t number, bool drops_closed);

  uint16_t port() const { return server_.port(); }
  const std::string& instance() const { return instance_; }
  // Ids of the requests that ran.
  std::set<std::string> Runs();

 private:
  void Serve(Connection& connection);
  bool Answer(Connection& connection, const std::string& id);
  int64_t FirstEventMs();

  Trial& trial_;
  const std::string instance_;
  const bool drops_closed_;
  std::mutex mutex_;
  std::mt19937 random_;
  std::set<std::string> runs_;
  TcpServer server_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_MODEL_ENGINE_H_
