// A late second copy of a rejection is taken for the answer to the same
// request when the router sends it again on the same connection.
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
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
// Two services of one engine each. One of the two engines gives a second answer
// to three in a hundred requests.
constexpr size_t kServices = 2;
constexpr double kSecondAnswerShare = 0.03;
constexpr int kSlots = 6;
constexpr int kQueue = 2;
constexpr int64_t kPollMs = 50;
constexpr int64_t kWorkMs = 60;
constexpr int64_t kTimeLimitMs = 1500;
constexpr int64_t kDurationMs = 98'000;
// Answers are doubled for five of each seven seconds.
constexpr int64_t kFaultPeriodMs = 7'000;
constexpr int64_t kFaultMs = 5'000;
constexpr int64_t kStabilityWindowMs = 3000;
// Requests a second to both services; each engine runs 100.
constexpr double kRate = 220;

std::string ServiceOf(size_t number) {
  return "desk-" + std::to_string(number + 1);
}

json Configuration() {
  json routes = json::array();
  json services = json::array();
  for (size_t i = 0; i < kServices; ++i) {
    routes.push_back({{"name", "r-" + std::to_string(i + 1)},
                      {"host", "desk.example"},
                      {"prefix", "/" + ServiceOf(i) + "/"},
                      {"kind", "non_idempotent"},
                      {"timeoutMs", kTimeLimitMs},
                      {"targetLatencyMs", 300},
                      {"priority", 2},
                      {"service", ServiceOf(i)},
                      {"maxAttempts", 1},
                      {"public", true},
                      {"sticky", false},
                      {"resumable", false}});
    services.push_back({{"name", ServiceOf(i)},
                        {"healthPath", "/health"},
                        {"maxConns", 110},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {{"version", 7},
          {"routes", routes},
          {"services", services},
          {"limits", Deployment::Limits()}};
}

// An engine with a limited number of slots and places.
class Engine {
 public:
  Engine(Trial& trial, size_t number, bool is_faulty)
      : trial_(trial),
        instance_("i-" + std::to_string(number + 1)),
        is_faulty_(is_faulty),
        random_(static_cast<unsigned>(number)),
        server_([this](Connection& connection) { Serve(connection); }) {}

  uint16_t port() const { return server_.port(); }
  const std::string& instance() const { return instance_; }
  int rejected() const { return rejected_; }
  int second_answers() const { return second_answers_; }
  // How often each request ran.
  std::map<std::string, int> Runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  void Serve(Connection& connection) {
    // A second copy of the last answer, sent where the next one is expected.
    std::string second_answer;
    while (!server_.stopping()) {
      const auto request = connection.Read(kPollMs);
      if (!request) {
        if (connection.IsClosedByPeer(0)) {
          return;
        }
        continue;
      }
      if (!second_answer.empty()) {
        trial_.Record(instance_ + " sends a late second copy of its answer");
        connection.Send(second_answer);
        ++second_answers_;
        second_answer.clear();
      }
      const std::string answer =
          Answer(request->Header("godwitlatch-attempt-id"));
      connection.Send(answer);
      if (is_faulty_ && IsFaultDue()) {
        second_answer = answer;
      }
    }
  }

  std::string Answer(const std::string& id) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto load = [this] {
      return "Godwitlatch-Engine-Load: " + std::to_string(running_) + "," +
             std::to_string(waiting_) + "," + std::to_string(kSlots);
    };
    if (running_ == kSlots && waiting_ == kQueue) {
      ++rejected_;
      trial_.Record(instance_ + " is full and rejects " + id);
      return AnswerHead(
                 "503 Service Unavailable", id,
                 {"Godwitlatch-Not-Executed: 1", load(), LengthLine(2)}) +
             "no";
    }
    ++waiting_;
    const int64_t deadline = NowMs() + kTimeLimitMs;
    while (running_ == kSlots && NowMs() < deadline) {
      lock.unlock();
      SleepMs(1);
      lock.lock();
    }
    --waiting_;
    ++running_;
    ++runs_[id];
    trial_.Record(instance_ + " runs " + id);
    lock.unlock();
    SleepMs(kWorkMs);
    lock.lock();
    --running_;
    return AnswerHead("200 OK", id, {SealLine(id), load(), LengthLine(2)}) +
           "ok";
  }

  bool IsFaultDue() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return trial_.now() % kFaultPeriodMs < kFaultMs &&
           std::uniform_real_distribution<double>(0, 1)(random_) <
               kSecondAnswerShare;
  }

  Trial& trial_;
  const std::string instance_;
  const bool is_faulty_;
  std::mutex mutex_;
  std::mt19937 random_;
  int running_ = 0;
  int waiting_ = 0;
  std::map<std::string, int> runs_;
  std::atomic<int> rejected_{0};
  std::atomic<int> second_answers_{0};
  TcpServer server_;
};

int StatusOf(uint16_t port, const std::string& service, const std::string& id) {
  const auto connection = Connection::Open(port);
  if (connection == nullptr ||
      !connection->Send(
          "POST /" + service +
          "/1 HTTP/1.1\r\nHost: desk.example\r\n"
          "Godwitlatch-Attempt-Id: " +
          id + "\r\nGodwitlatch-Deadline-Ms: " + std::to_string(kTimeLimitMs) +
          "\r\nContent-Length: 0\r\n\r\n")) {
    return 0;
  }
  const auto answer = connection->Read(kTimeLimitMs);
  return answer ? answer->Status() : 0;
}

bool IsRefusal(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

Trial::Verdict Run(Trial& trial) {
  std::vector<std::unique_ptr<Engine>> engines;
  for (size_t i = 0; i < kServices; ++i) {
    engines.push_back(
        std::make_unique<Engine>(trial, i, trial.has_trouble() && i == 0));
  }
  Deployment deployment(trial, kRouters);
  deployment.Put("op/config", Configuration());
  for (size_t i = 0; i < kServices; ++i) {
    const auto& engine = engines[i];
    deployment.Put("servers/" + engine->instance(),
                   Deployment::Registration(ServiceOf(i), Deployment::ZoneOf(i),
                                            engine->port(), kSlots));
  }
  if (!deployment.Start()) {
    return trial.End(Trial::kCouldNotRun, "a router is not ready");
  }
  SleepMs(kStabilityWindowMs);

  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::atomic<int> open{0};
  std::mt19937 random(1);
  std::exponential_distribution<double> pause(kRate / 1000);
  const int64_t started_at = NowMs();
  double at = 0;
  for (int number = 1; at < kDurationMs; ++number) {
    at += pause(random);
    SleepUntilMs(started_at + static_cast<int64_t>(at));
    const uint16_t port = deployment.routers()[random() % kRouters]->port();
    ++open;
    std::thread([&, port, service = ServiceOf(random() % kServices),
                 id = "a-" + std::to_string(number)] {
      trial.Record(std::string(id).append(" is sent to ").append(service));
      const int status = StatusOf(port, service, id);
      {
        const std::lock_guard<std::mutex> lock(mutex);
        statuses[id] = status;
      }
      trial.Record(id + " gets " + std::to_string(status));
      --open;
    }).detach();
  }
  SleepMs(kTimeLimitMs);
  while (open > 0) {
    SleepMs(kPollMs);
  }
  SleepMs(kTimeLimitMs);

  std::map<std::string, int> runs;
  int rejected = 0;
  int second_answers = 0;
  for (const auto& engine : engines) {
    rejected += engine->rejected();
    second_answers += engine->second_answers();
    for (const auto& [id, count] : engine->Runs()) {
      runs[id] += count;
    }
  }
  int twice = 0;
  int refused = 0;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++twice;
      trial.Record("TWICE: " + id + " ran " + std::to_string(count) + " times");
    }
    if (IsRefusal(statuses[id])) {
      ++refused;
      trial.Record("REFUSED: " + id + " was answered " +
                   std::to_string(statuses[id]) + " and ran");
    }
  }
  const std::string counts =
      std::to_string(twice) + " requests ran more than once, " +
      std::to_string(refused) + " were refused as not run and ran, of " +
      std::to_string(statuses.size()) + " (" + std::to_string(rejected) +
      " rejections, " + std::to_string(second_answers) + " second answers)";
  return trial.End(twice + refused > 0 ? Trial::kBroken : Trial::kHeld, counts);
}

}  // namespace

int main(int argc, char** argv) {
  Trial trial(argc > 1 ? argv[1] : "record.txt");
  return Run(trial);
}
