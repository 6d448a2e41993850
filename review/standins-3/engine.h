#ifndef REVIEW_STANDINS_3_ENGINE_H_
#define REVIEW_STANDINS_3_ENGINE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "http.h"
#include "store.h"

namespace review {

// An engine that answers as the header X-Plan asks: "EVENTS,GAP_MS" is a stream
// of events, "body,SIZE" an answer with a length. It registers itself in the
// store.
class Engine {
 public:
  struct Run {
    int64_t started_at = 0;
    int64_t ended_at = 0;
    int64_t events = 0;
    // The engine wrote the end of the stream.
    bool is_complete = false;
  };

  Engine(Store& store, std::string id, std::string service);
  ~Engine();

  const std::string& id() const { return id_; }
  // The last run of a request; all zero if it did not run.
  Run RunOf(const std::string& request) const;
  int64_t runs() const;

 private:
  bool Handle(Connection& connection, const Message& request);
  bool Answer(Connection& connection, const Message& request);
  bool Stream(Connection& connection, const Message& request);
  void Register();
  void SendBeats();

  Store& store_;
  const std::string id_;
  const std::string service_;
  mutable std::mutex mutex_;
  std::map<std::string, Run> runs_;
  std::atomic<int> running_{0};
  std::atomic<bool> stops_{false};
  int64_t sequence_ = 0;
  HttpServer server_;
  std::thread beats_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_ENGINE_H_
