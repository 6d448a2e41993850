#ifndef REVIEW_STANDINS_3_FLEET_H_
#define REVIEW_STANDINS_3_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "engine.h"
#include "http.h"
#include "store.h"

namespace review {

// A router: the program of the deploy file, with the template of its settings
// filled in for a small deployment.
class Router {
 public:
  Router(const std::string& name,
         uint16_t store_port,
         const std::string& directory);
  ~Router();

  void Start();
  void Signal(int signal) const;
  // Waits for the end of the process; kills it after `limit_ms`.
  void Wait(int64_t limit_ms);
  bool IsReady() const;
  bool AwaitReady(int64_t limit_ms) const;
  uint16_t callers() const { return callers_; }
  const std::string& name() const { return name_; }

 private:
  const std::string name_;
  const uint16_t callers_;
  const uint16_t readiness_;
  const std::string settings_file_;
  const std::string log_file_;
  pid_t pid_ = -1;
};

// What a case writes down, one line each, with the time since its start.
class Record {
 public:
  explicit Record(const std::string& file);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream stream_;
  const int64_t started_at_ = NowMs();
};

// One client attempt of a streaming request and how it ended.
struct Attempt {
  std::string id;
  int64_t sent_at = 0;
  int64_t ended_at = 0;
  int status = 0;
  int64_t events = 0;
  bool is_complete = false;
};

struct StreamRequest {
  std::string path;
  std::string key;
  int64_t input_tokens = 0;
  int64_t max_output_tokens = 0;
  int64_t events = 0;
  int64_t gap_ms = 0;
  int64_t deadline_ms = 0;
};

// A new request id.
std::string NewId();

// Sends a request on an open connection and reads its answer. After it,
// `keeps` states whether the connection can be used again.
Attempt SendStream(Connection& connection,
                   const StreamRequest& request,
                   bool* keeps);

// The configuration of one streaming route of one service, without tenants.
nlohmann::json Configuration(int64_t version, int64_t stride);

}  // namespace review

#endif  // REVIEW_STANDINS_3_FLEET_H_
