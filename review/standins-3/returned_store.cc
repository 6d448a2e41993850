// The store comes back from an older copy while all routers are without power.
// Looks for tokens that a tenant gets beyond its `prepaid`.
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

constexpr int kRouters = 5;
constexpr int kEngines = 4;
constexpr int kCallersPerRouter = 40;
constexpr int64_t kPrepaid = 3'000'000;
constexpr int64_t kPauseMs = 200;
constexpr int64_t kBeforeTrafficMs = 10'000;
constexpr int64_t kAgeOfCopyMs = 4'000;
constexpr int64_t kAwayMs = 500;
constexpr int64_t kPowerLossMs = 1'200;
constexpr int64_t kRestMs = 30'000;

int Run(bool has_trouble, const std::string& directory) {
  Record record(directory + "/record.txt");
  Store store;
  store.StateEra();
  nlohmann::json config = Configuration(7, TenantLoad::kStride);
  config["tenants"] = nlohmann::json::array({{{"name", "acme"},
                                              {"apiKeys", {"key-of-acme"}},
                                              {"priority", 1},
                                              {"prepaid", kPrepaid}}});
  store.Put("op/config", config);
  std::vector<std::unique_ptr<Engine>> engines;
  engines.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(
        std::make_unique<Engine>(store, "i-" + std::to_string(i), "model"));
  }
  std::vector<std::unique_ptr<Router>> routers;
  routers.reserve(kRouters);
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
  SleepMs(kBeforeTrafficMs);
  std::atomic<bool> stops{false};
  TenantLoad load("key-of-acme");
  load.SetPause(kPauseMs);
  store.Copy();
  std::vector<std::thread> callers;
  callers.reserve(kRouters * kCallersPerRouter);
  for (int i = 0; i < kRouters * kCallersPerRouter; ++i) {
    callers.emplace_back(
        [&, i] { load.Call(*routers[i % kRouters], i + 1, stops); });
  }
  record.Add("the traffic begins, and the copy is made");
  SleepMs(kAgeOfCopyMs - kAwayMs);
  record.Add("4 s after it, less 0.5 s: " + load.Describe(kPrepaid));
  if (has_trouble) {
    store.SetAway(true);
    for (const auto& router : routers) {
      router->Signal(SIGKILL);
    }
    record.Add("the store is away, and all routers lose power");
    SleepMs(kAwayMs);
    store.ReturnFromCopy();
    store.SetAway(false);
    record.Add("the store is back from the copy");
    SleepMs(kPowerLossMs - kAwayMs);
    for (const auto& router : routers) {
      router->Wait(1'000);
      router->Start();
    }
    record.Add("all routers start again");
  }
  load.SetPause(0);
  SleepMs(kRestMs);
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
