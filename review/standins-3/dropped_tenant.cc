// The operator takes a tenant away while its budget runs out. Looks for tokens
// that the tenant gets beyond its `prepaid`.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.h"
#include "tenant_load.h"

namespace review {
namespace {

constexpr int kRouters = 4;
constexpr int kEngines = 4;
constexpr int kCallersPerRouter = 80;
constexpr int64_t kPrepaid = 3'000'000;
constexpr int64_t kTokensAtChange = kPrepaid / 100 * 98;
constexpr int64_t kLimitMs = 40'000;

nlohmann::json ConfigurationWith(int64_t version, bool has_tenant) {
  nlohmann::json config = Configuration(version, TenantLoad::kStride);
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
  TenantLoad load("key-of-acme");
  std::vector<std::thread> callers;
  callers.reserve(kRouters * kCallersPerRouter);
  for (int i = 0; i < kRouters * kCallersPerRouter; ++i) {
    callers.emplace_back(
        [&, i] { load.Call(*routers[i % kRouters], i + 1, stops); });
  }
  const int64_t ends_at = NowMs() + kLimitMs;
  while (NowMs() < ends_at && load.tokens() < kTokensAtChange) {
    SleepMs(1);
  }
  record.Add("before the change: " + load.Describe(kPrepaid));
  if (has_trouble) {
    store.Put("op/config", ConfigurationWith(11, false));
    record.Add("version 11 takes the tenant acme away");
  }
  SleepMs(6'000);
  stops = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Add("at the end: " + load.Describe(kPrepaid));
  if (load.served() == 0) {
    return 2;
  }
  return load.tokens() > kPrepaid ? 1 : 0;
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
