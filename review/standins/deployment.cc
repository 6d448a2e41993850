#include "deployment.h"

#include "trial.h"

namespace godwit::review {

using nlohmann::json;

Deployment::Deployment(Trial& trial, size_t routers)
    : trial_(trial), store_(routers) {
  for (size_t i = 0; i < routers; ++i) {
    routers_.push_back(std::make_unique<Router>(
        trial.directory(), "front-" + std::to_string(i + 1), ZoneOf(i),
        store_.PortOf(i)));
  }
}

json Deployment::Registration(const std::string& service,
                              const std::string& zone,
                              uint16_t port,
                              int64_t slots) {
  return {
      {"service", service},   {"address", "127.0.0.1:" + std::to_string(port)},
      {"zone", zone},         {"version", "v1"},
      {"slots", slots},       {"state", "ready"},
      {"coldRemainingMs", 0}, {"sequence", 0}};
}

std::string Deployment::ZoneOf(size_t number) {
  return "hall-" + std::to_string(number + 1);
}

json Deployment::Limits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

void Deployment::Put(const std::string& key, const json& value) {
  store_.Put(key, value);
  trial_.Record("the store has accepted " + key + " " + value.dump());
}

bool Deployment::Start() {
  constexpr int64_t timeout_ms = 10'000;
  for (const auto& router : routers_) {
    router->Start();
  }
  for (const auto& router : routers_) {
    if (!router->WaitUntilReady(timeout_ms)) {
      return false;
    }
    trial_.Record(router->name() + " is ready");
  }
  return true;
}

}  // namespace godwit::review
