// The operator takes a tenant away while its budget runs out. Looks for tokens
// that the tenant gets beyond its `prepaid`.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 4;
constexpr int kEngines = 4;
constexpr int kCallersPerRouter = 80;
constexpr int64_t kStride = 50;
constexpr int64_t kInput = 100;
constexpr int64_t kEvents = 8;
constexpr int64_t kPrepaid = 3'000'000;
constexpr int64_t kTokensAtChange = kPrepaid / 100 * 98;
constexpr int64_t kLimitMs = 40'000;

nlohmann::json ConfigurationWith(int64_t version, bool has_tenant) {
  nlohmann::json config = Configuration(version, kStride);
  config["tenants"] = nlohmann::json::array({{{"name", "other"},
                                              {"apiKeys", {"key-of-other"}},
                                              {"priority", 1},
                                              {"prepaid", kPrepaid}}});
  if (has_tenant) {
    config["tenants"].push_back({{"name", "acme"},
                                 {"apiKeys", {"key-of-acme"}},
                                 {"priority", 1},
                                 {"prepaid", kPrepaid}});
  }
  return config;
}

struct Counts {
  std::atomic<int64_t> tokens{0};
  std::atomic<int64_t> served{0};
  std::atomic<int64_t> refused{0};
  std::atomic<int64_t> unknown_key{0};
  std::atomic<int64_t> exhausted{0};
};

void Call(const Router& router,
          int seed,
          const std::atomic<bool>& stops,
          Counts& counts) {
  std::minstd_rand random(static_cast<unsigned>(seed));
  std::unique_ptr<Connection> connection;
  while (!stops) {
    if (connection == nullptr) {
      const int fd = Connection::Dial(router.callers(), 1000);
      if (fd < 0) {
        SleepMs(50);
        continue;
      }
      connection = std::make_unique<Connection>(fd);
    }
    StreamRequest request;
    request.path = "/chat/";
    request.key = "key-of-acme";
    request.input_tokens = kInput;
    request.max_output_tokens = kEvents * kStride;
    request.deadline_ms = 6'000;
    request.events = random() % 2 == 0 ? 1 : kEvents;
    request.gap_ms = 10;
    bool keeps = false;
    const Attempt attempt = SendStream(*connection, request, &keeps);
    if (attempt.status == 200) {
      ++counts.served;
      counts.tokens += kInput + attempt.events * kStride;
    }
    counts.refused += attempt.status == 503 ? 1 : 0;
    counts.unknown_key += attempt.status == 401 ? 1 : 0;
    counts.exhausted += attempt.status == 402 ? 1 : 0;
    if (!keeps) {
      connection.reset();
    }
    if (attempt.status != 200) {
      SleepMs(static_cast<int64_t>(random() % 50));
    }
  }
}

std::string Describe(const Counts& counts) {
  return "tokens " + std::to_string(counts.tokens) + " of " +
         std::to_string(kPrepaid) + ", served " +
         std::to_string(counts.served) + ", 503 " +
         std::to_string(counts.refused) + ", 402 " +
         std::to_string(counts.exhausted) + ", 401 " +
         std::to_string(counts.unknown_key);
}

int Run(bool has_trouble, const std::string& directory) {
  Record record(directory + "/record.txt");
  Store store;
  store.Put("op/config", ConfigurationWith(7, true));
  std::vector<std::unique_ptr<Engine>> engines;
  engines.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(
        std::make_unique<Engine>(store, "i-" + std::to_string(i), "model"));
  }
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<Router>(
        "front-" + std::to_string(i), store.port(), directory + "/tmp"));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!router->AwaitReady(10'000)) {
      record.Add("a router is not ready");
      return 2;
    }
  }
  SleepMs(4'000);
  record.Add("all routers are ready");
  std::atomic<bool> stops{false};
  Counts counts;
  std::vector<std::thread> callers;
  callers.reserve(kRouters * kCallersPerRouter);
  for (int i = 0; i < kRouters * kCallersPerRouter; ++i) {
    callers.emplace_back(
        [&, i] { Call(*routers[i % kRouters], i + 1, stops, counts); });
  }
  const int64_t ends_at = NowMs() + kLimitMs;
  while (NowMs() < ends_at && counts.tokens < kTokensAtChange) {
    SleepMs(1);
  }
  record.Add("before the change: " + Describe(counts));
  if (has_trouble) {
    store.Put("op/config", ConfigurationWith(11, false));
    record.Add("version 11 takes the tenant acme away");
  }
  SleepMs(6'000);
  stops = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Add("at the end: " + Describe(counts));
  if (counts.served == 0) {
    return 2;
  }
  return counts.tokens > kPrepaid ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  return review::Run(has_trouble, argv[1]);
}
