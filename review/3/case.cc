// A router whose watches got no answer while the store turned it away goes on
// with the configuration of before, long after the store serves it again.
#include <algorithm>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "../standins/answer_head.h"
#include "../standins/clock.h"
#include "../standins/connection.h"
#include "../standins/deployment.h"
#include "../standins/tcp_server.h"
#include "../standins/trial.h"

namespace {

using godwit::review::AnswerHead;
using godwit::review::Connection;
using godwit::review::Deployment;
using godwit::review::LengthLine;
using godwit::review::NowMs;
using godwit::review::SealLine;
using godwit::review::SleepMs;
using godwit::review::SleepUntilMs;
using godwit::review::TcpServer;
using godwit::review::Trial;
using nlohmann::json;

constexpr size_t kRouters = 4;
constexpr size_t kEngines = 3;
constexpr int64_t kSlots = 6;
constexpr int64_t kPollMs = 50;
constexpr int64_t kWorkMs = 15;
// The bounds of the small deployments.
constexpr int64_t kStabilityWindowMs = 3000;
constexpr int64_t kConfigApplyMs = 2000;
constexpr int64_t kMaxStretchMs = 5000;
// The store turns one of four routers away for as long as on the sites' days.
constexpr int64_t kTurnedAwayMs = 4500;
constexpr int64_t kRequestIntervalMs = 200;
constexpr int64_t kObservedMs = 16'000;
constexpr char kRemovedKey[] = "key-removed";
constexpr char kKeptKey[] = "key-kept";

json Configuration(int64_t version, const std::vector<std::string>& keys) {
  return {{"version", version},
          {"routes", json::array({{{"name", "r-1"},
                                   {"host", "desk.example"},
                                   {"prefix", "/ticket/"},
                                   {"kind", "non_idempotent"},
                                   {"timeoutMs", 1500},
                                   {"targetLatencyMs", 300},
                                   {"priority", 2},
                                   {"service", "desk"},
                                   {"maxAttempts", 1},
                                   {"public", false},
                                   {"sticky", false},
                                   {"resumable", false}}})},
          {"services", json::array({{{"name", "desk"},
                                     {"healthPath", "/health"},
                                     {"maxConns", 110},
                                     {"protocol", "h1"},
                                     {"tls", false}}})},
          {"limits", Deployment::Limits()},
          {"tenants",
           json::array(
               {{{"name", "tenant-1"}, {"apiKeys", keys}, {"priority", 1}}})}};
}

// Engines that answer each request, and what they ran.
class Engines {
 public:
  explicit Engines(Trial& trial) : trial_(trial) {
    for (size_t i = 0; i < kEngines; ++i) {
      servers_.push_back(std::make_unique<TcpServer>(
          [this, i](Connection& connection) { Serve(i, connection); }));
    }
  }

  uint16_t PortOf(size_t engine) const { return servers_[engine]->port(); }
  static std::string InstanceOf(size_t engine) {
    return "i-" + std::to_string(engine + 1);
  }
  bool HasRun(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ran_.count(id) > 0;
  }

 private:
  void Serve(size_t engine, Connection& connection) {
    while (!servers_[engine]->stopping()) {
      const auto request = connection.Read(kPollMs);
      if (!request) {
        if (connection.IsClosedByPeer(0)) {
          return;
        }
        continue;
      }
      const std::string id = request->Header("godwitlatch-attempt-id");
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ran_.insert(id);
      }
      trial_.Record(InstanceOf(engine) + " runs " + id);
      SleepMs(kWorkMs);
      connection.Send(AnswerHead("200 OK", id, {SealLine(id), LengthLine(2)}) +
                      "ok");
    }
  }

  Trial& trial_;
  std::mutex mutex_;
  std::set<std::string> ran_;
  std::vector<std::unique_ptr<TcpServer>> servers_;
};

int StatusOf(uint16_t port, const std::string& id, const std::string& key) {
  constexpr int64_t time_limit_ms = 1500;
  const auto connection = Connection::Open(port);
  if (connection == nullptr ||
      !connection->Send("POST /ticket/1 HTTP/1.1\r\nHost: desk.example\r\n"
                        "Godwitlatch-Attempt-Id: " +
                        id +
                        "\r\nGodwitlatch-Deadline-Ms: 1500\r\n"
                        "Authorization: Bearer " +
                        key + "\r\nContent-Length: 0\r\n\r\n")) {
    return 0;
  }
  const auto answer = connection->Read(time_limit_ms);
  return answer ? answer->Status() : 0;
}

Trial::Verdict Run(Trial& trial) {
  Engines engines(trial);
  Deployment deployment(trial, kRouters);
  deployment.Put("op/config", Configuration(7, {kKeptKey, kRemovedKey}));
  for (size_t i = 0; i < kEngines; ++i) {
    deployment.Put("servers/" + Engines::InstanceOf(i),
                   Deployment::Registration("desk", Deployment::ZoneOf(i),
                                            engines.PortOf(i), kSlots));
  }
  if (!deployment.Start()) {
    return trial.End(Trial::kCouldNotRun, "a router is not ready");
  }
  SleepMs(kStabilityWindowMs);
  deployment.Put("op/config", Configuration(9, {kKeptKey, kRemovedKey}));
  SleepMs(300);

  const int64_t disrupted_at = NowMs();
  if (trial.has_trouble()) {
    trial.Record("the store turns front-1 away");
    deployment.store().TurnAway(0, true);
  }
  SleepUntilMs(disrupted_at + 1000);
  deployment.Put("op/config", Configuration(12, {kKeptKey}));
  const int64_t acknowledged_at = NowMs();
  SleepUntilMs(disrupted_at + kTurnedAwayMs);
  deployment.store().TurnAway(0, false);
  trial.Record("the store serves front-1");
  // The unstable core may stretch the bound for the version of that time.
  const int64_t in_touch_at = NowMs() + kStabilityWindowMs;
  const int64_t judged_from =
      std::max(in_touch_at, acknowledged_at + kConfigApplyMs + kMaxStretchMs);

  int wrong = 0;
  int served = 0;
  for (int number = 1; NowMs() < disrupted_at + kObservedMs; ++number) {
    for (const auto& router : deployment.routers()) {
      const bool is_judged = NowMs() > judged_from;
      for (const char* key : {kRemovedKey, kKeptKey}) {
        const std::string id =
            router->name() + "-" + key + "-" + std::to_string(number);
        trial.Record(id + " is sent");
        const int status = StatusOf(router->port(), id, key);
        const bool has_run = engines.HasRun(id);
        const bool is_wrong = key == kRemovedKey && has_run && is_judged;
        trial.Record(id + " gets " + std::to_string(status) +
                     (has_run ? ", ran" : ", did not run") +
                     (is_wrong ? ": its key is gone" : ""));
        wrong += is_wrong ? 1 : 0;
        served += key == kKeptKey && has_run && is_judged ? 1 : 0;
      }
    }
    SleepMs(kRequestIntervalMs);
  }
  const std::string counts = std::to_string(wrong) +
                             " requests ran whose key was taken away more "
                             "than " +
                             std::to_string(judged_from - acknowledged_at) +
                             " ms before, by machines in touch; " +
                             std::to_string(served) +
                             " with a key that stays ran";
  if (served == 0) {
    return trial.End(Trial::kCouldNotRun, counts);
  }
  return trial.End(wrong > 0 ? Trial::kBroken : Trial::kHeld, counts);
}

}  // namespace

int main(int argc, char** argv) {
  Trial trial(argc > 1 ? argv[1] : "record.txt");
  return Run(trial);
}
