#include "fleet.h"

#include <signal.h>

#include <chrono>
#include <fstream>
#include <utility>

#include "deployment.h"
#include "http.h"

namespace godwit::review {
namespace {

using nlohmann::json;

// Model engines, and servers of the booking application.
constexpr int kEngines = 4;
constexpr int kDeskServers = 4;
constexpr int kDeskSlots = 6;
constexpr char kModelService[] = "lantern-llm";
constexpr char kDeskService[] = "booth-desk";
constexpr int kReadyTimeoutMs = 10'000;
constexpr int kPollMs = 20;
constexpr int kStopTimeoutMs = static_cast<int>(kGraceMs) + 1000;
constexpr char kZones[][16] = {"keelung-hall", "banqiao-hall", "taoyuan-hall",
                               "hsinchu-hall"};
constexpr size_t kZoneCount = 4;

void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string ToBase64(const std::string& bytes) {
  constexpr char k_digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const bool is_there = i + j < bytes.size();
      group = (group << 8U) |
              (is_there ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool is_there = j == 0 || i + j - 1 < bytes.size();
      text += is_there ? k_digits[(group >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return text;
}

}  // namespace

Fleet::Fleet(Options options, Record& record)
    : options_(std::move(options)), record_(record), store_port_(FreePort()) {
  store_ = std::make_unique<Process>(
      std::vector<std::string>{options_.store_program, "--ip=127.0.0.1",
                               "--port=" + std::to_string(store_port_)},
      options_.directory + "/store.log");
  while (Get(store_port_, "/api/kv-key?key=none").status == 0) {
    Sleep(kPollMs);
  }
  PutConfiguration();
  for (int i = 0; i < kEngines + kDeskServers; ++i) {
    engines_.emplace_back("i-" + std::to_string(i), record_);
  }
  CheckIn();
  for (size_t i = 0; i < kRouters; ++i) {
    ports_.push_back({FreePort(), FreePort(), FreePort(), FreePort()});
    routers_.emplace_back();
    StartRouter(i);
  }
  check_ins_ = std::thread([this] {
    for (int waited = 0; !is_stopping_; waited += kPollMs) {
      if (waited >= kHeartbeatMs) {
        CheckIn();
        waited = 0;
      }
      Sleep(kPollMs);
    }
  });
}

Fleet::~Fleet() {
  is_stopping_ = true;
  check_ins_.join();
}

void Fleet::PutItem(const std::string& key, const json& value) const {
  Post(
      store_port_, "/api/kv-txn",
      {{"expectedRev", json::array()},
       {"writes",
        json::array(
            {{{"key", key}, {"value", ToBase64(value.dump())}, {"lease", 0}}})},
       {"remove", json::array()}});
}

void Fleet::PutConfiguration() {
  json tenants = json::array();
  for (const std::string& tenant : options_.tenants) {
    tenants.push_back({{"name", tenant},
                       {"apiKeys", json::array({KeyOf(tenant)})},
                       {"prepaid", options_.prepaid}});
  }
  PutItem("op/config",
          {{"version", ++version_},
           {"routes", json::array({{{"name", "kiosk-help-chat"},
                                    {"host", "kiosk.example"},
                                    {"prefix", kChatPath},
                                    {"kind", "streaming"},
                                    {"resumable", false},
                                    {"service", kModelService},
                                    {"timeoutMs", 15'000},
                                    {"targetLatencyMs", 400},
                                    {"gapAimMs", 300},
                                    {"priority", 0},
                                    {"sticky", true},
                                    {"maxAttempts", 1}},
                                   {{"name", "dispatch-ticket"},
                                    {"host", "kiosk.example"},
                                    {"prefix", kDeskPath},
                                    {"kind", "non_idempotent"},
                                    {"service", kDeskService},
                                    {"timeoutMs", 800},
                                    {"targetLatencyMs", 300},
                                    {"priority", 2},
                                    {"maxAttempts", 1}}})},
           {"services", json::array({{{"name", kModelService},
                                      {"maxConns", 370},
                                      {"healthPath", "/health"},
                                      {"engine",
                                       {{"slots", kEngineSlots},
                                        {"kvCapacity", 308'512},
                                        {"stride", kTokensPerEvent}}}},
                                     {{"name", kDeskService},
                                      {"maxConns", 110},
                                      {"healthPath", "/health"}}})},
           {"limits",
            {{"maxHeaderBytes", 16'384},
             {"maxBodyBytes", 4'194'304},
             {"headerTimeoutMs", 5000},
             {"idleTimeoutMs", 30'000}}},
           {"tenants", tenants}});
}

void Fleet::CheckIn() {
  size_t index = 0;
  for (const Engine& engine : engines_) {
    const bool is_model = index < kEngines;
    PutItem("servers/" + engine.instance(),
            {{"service", is_model ? kModelService : kDeskService},
             {"address", "127.0.0.1:" + std::to_string(engine.port())},
             {"zone", kZones[index++ % kZoneCount]},
             {"version", "1"},
             {"slots", is_model ? kEngineSlots : kDeskSlots},
             {"state", "ready"},
             {"coldRemainingMs", 0},
             {"sequence", record_.now_ms()}});
  }
}

// deploy/router.yaml as the platform fills it in.
std::string Fleet::Settings(size_t index) const {
  const auto address = [](uint16_t port) {
    return "127.0.0.1:" + std::to_string(port) + "\n";
  };
  const Ports& ports = ports_[index];
  return "process: front-" + std::to_string(index) +
         "\ndata_centre: " + kZones[index % kZoneCount] +
         "\nplatform: " + address(store_port_) +
         "callers: " + address(ports.callers) +
         "readiness: " + address(ports.readiness) +
         "metrics: " + address(ports.control) +
         "routers: " + address(ports.routers) +
         "stop_limit_ms: " + std::to_string(kGraceMs) +
         "\nretry_ratio: 0.2\nretry_slack: 56\nretry_window_ms: \"10000\"\n"
         "change_detection_ms: \"" +
         std::to_string(kStabilityWindowMs) +
         "\"\nmemory_mb: \"260\"\ndescriptors: 4100\nlink_mbps: 1000.0\n"
         "processor_share: 0.19\nlog_format: json\n";
}

void Fleet::StartRouter(size_t index) {
  const std::string base =
      options_.directory + "/front-" + std::to_string(index);
  std::ofstream(base + ".yaml") << Settings(index);
  routers_[index] = std::make_unique<Process>(
      std::vector<std::string>{options_.router_program, "--settings",
                               base + ".yaml"},
      base + ".log");
  record_.Note("router " + std::to_string(index) + " started");
}

void Fleet::RestartInOrder(size_t index) {
  record_.Note("router " + std::to_string(index) + " gets SIGTERM");
  routers_[index]->Signal(SIGTERM);
  routers_[index]->Wait(kStopTimeoutMs);
  record_.Note("router " + std::to_string(index) + " has ended");
  StartRouter(index);
}

bool Fleet::AwaitReady() {
  for (const Ports& ports : ports_) {
    int waited = 0;
    while (Get(ports.readiness, "/api/ready").status != 200) {
      if (waited >= kReadyTimeoutMs) {
        return false;
      }
      Sleep(kPollMs);
      waited += kPollMs;
    }
  }
  return true;
}

void Fleet::SetStoreAway(bool is_away) {
  record_.Note(is_away ? "store away" : "store back");
  Post(store_port_, "/fault", {{"down", is_away}});
}

void Fleet::ReturnStoreFromCopy(int64_t age_ms) {
  record_.Note("store returns from a copy of " + std::to_string(age_ms) +
               " ms ago");
  Post(store_port_, "/fault", {{"down", false}, {"return_from_ms", age_ms}});
  PutConfiguration();
  CheckIn();
}

std::string Fleet::KeyOf(const std::string& tenant) {
  return "key-of-" + tenant;
}

}  // namespace godwit::review
