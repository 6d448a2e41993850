#ifndef ENGINE_SERVICE_H_
#define ENGINE_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "answer.h"
#include "base/millis.h"
#include "engine_model.h"
#include "http/response.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::http {
class Exchange;
struct Request;
}  // namespace godwit::http

namespace godwit::standin {

// HTTP interface of a model engine; POST /fault injects faults. Core thread.
class EngineService {
 public:
  struct Settings {
    EngineModel::Settings model;
    int64_t min_answer_tokens = 8;
    int64_t max_answer_tokens = 64;
    // Age of the figures of GET /load.
    base::Millis load_lag;
    // Refuse orders with a fencing number below the highest one received.
    bool check_fence = false;
  };

  EngineService(runtime::Runtime& runtime, const Settings& settings);
  ~EngineService();

  // Answers one request. Does not block.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  struct Faults {
    // No tokens are produced.
    bool hang = false;
    // Number of next requests that are answered with fail_status without
    // running.
    int64_t fail_next = 0;
    int fail_status = 500;
    // Speed factor; below 1 is slower.
    double speed = 1;
    // Number of tokens after which the process terminates; never if negative.
    int64_t die_after_tokens = -1;
  };

  // An open request.
  struct Call {
    std::string id;
    std::shared_ptr<http::Exchange> exchange;
    Answer answer;
    int64_t prompt_tokens = 0;
    // Number of tokens of the complete answer.
    int64_t end_token = 0;
    bool stream = false;
    std::string content;
  };

  struct LoadSample {
    base::Millis taken_at;
    size_t running = 0;
    size_t queued = 0;
    size_t cached_prefixes = 0;
  };

  struct Wakeup;

  void RunSteps();
  void Complete(const std::shared_ptr<http::Exchange>& exchange);
  void Open(const std::shared_ptr<http::Exchange>& exchange,
            const nlohmann::json& body);
  void Deliver(const EngineModel::Token& token);
  void Finish(int64_t number);
  bool IsStalled(int64_t number) const;
  bool Cancel(int64_t number);
  void CountTokenTowardsCrash();
  void SampleLoad();
  http::Response CancelById(const std::string& id);
  http::Response Load() const;
  http::Response Order(const http::Request& request);
  http::Response SetFaults(const http::Request& request);
  http::Response Stats() const;

  Settings settings_;
  EngineModel model_;
  Faults faults_;
  std::unique_ptr<Wakeup> wakeup_;
  std::map<int64_t, Call> calls_;
  int64_t last_number_ = 0;
  int64_t cancelled_ = 0;
  int64_t highest_fence_ = 0;
  std::map<std::string, int64_t> executions_by_id_;
  std::deque<std::string> orders_;
  std::deque<LoadSample> load_samples_;
};

}  // namespace godwit::standin

#endif  // ENGINE_SERVICE_H_
