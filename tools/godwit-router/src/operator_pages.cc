#include "operator_pages.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/config.h"
#include "daemon/config_service.h"
#include "daemon/kv_health.h"
#include "daemon/link_manager.h"
#include "daemon/process_metrics.h"
#include "kernel/kernel.h"
#include "router/router_core.h"
#include "telemetry/metrics.h"

namespace godwit::router_daemon {
namespace {

using nlohmann::json;
using telemetry::MetricId;

json ToJson(const router::OpenCall& call) {
  return {{"service", call.service.value()},
          {"attempt", call.attempt.value()},
          {"agent", call.agent.value()},
          {"phase", std::string(call.phase)},
          {"caller_waits", call.caller_waits}};
}

void SetLinks(telemetry::Metrics& metrics, const daemon::LinkManager& links) {
  const link::LinkCounters& counters = links.counters();
  metrics.Set(MetricId::kLinksOpen, {}, static_cast<double>(links.links()));
  metrics.Set(MetricId::kLinksReplacedTotal, {},
              static_cast<double>(counters.unresponsive_links));
  const std::pair<const char*, int64_t> reasons[] = {
      {"foreign", counters.rejected_peers},
      {"misplaced", counters.unexpected_frames},
      {"unknown", counters.unknown_frames},
      {"malformed", counters.malformed_frames},
      {"oversized", counters.oversized_frames},
  };
  for (const auto& [reason, count] : reasons) {
    metrics.Set(MetricId::kLinkFramesRefusedTotal, {reason},
                static_cast<double>(count));
  }
}

// Services without requests report zero, so that their gauge does not keep its
// previous value.
void SetInFlight(telemetry::Metrics& metrics,
                 const config::Config* config,
                 const router::RouterCore& core) {
  std::map<std::string, int64_t> counts;
  if (config != nullptr) {
    for (const config::Service& service : config->services) {
      counts[service.id.value()] = 0;
    }
  }
  for (const router::OpenCall& call : core.OpenCalls()) {
    ++counts[call.service.value()];
  }
  for (const auto& [service, count] : counts) {
    metrics.Set(MetricId::kRequestsInFlight, {service},
                static_cast<double>(count));
  }
}

}  // namespace

OperatorPages::OperatorPages(const kernel::Kernel& kernel,
                             base::ProcessId process,
                             base::Incarnation incarnation)
    : kernel_(kernel),
      process_(std::move(process)),
      incarnation_(std::move(incarnation)) {}

std::string OperatorPages::Metrics() const {
  auto& metrics = kernel_.Require<telemetry::Metrics>("metrics");
  const auto& config = kernel_.Require<daemon::ConfigService>("config");
  SetLinks(metrics, kernel_.Require<daemon::LinkManager>("links"));
  SetInFlight(metrics, config.in_force().get(),
              kernel_.Require<router::RouterCore>("core"));
  metrics.Set(MetricId::kConfigRevision, {},
              static_cast<double>(config.revision()));
  daemon::SetProcessMetrics(metrics);
  return metrics.Render();
}

std::string OperatorPages::Status(bool ready, bool leaving) const {
  const auto& core = kernel_.Require<router::RouterCore>("core");
  const auto& config = kernel_.Require<daemon::ConfigService>("config");
  json open_calls = json::array();
  for (const router::OpenCall& call : core.OpenCalls()) {
    open_calls.push_back(ToJson(call));
  }
  return json{{"process", process_.value()},
              {"incarnation", incarnation_.value()},
              {"config_revision", config.revision()},
              {"ready", ready},
              {"leaving", leaving},
              {"open_requests", core.open_calls()},
              {"open_calls", std::move(open_calls)},
              {"links", kernel_.Require<daemon::LinkManager>("links").links()},
              {"kv_available",
               kernel_.Require<daemon::KvHealth>("kv_health").available()}}
             .dump() +
         "\n";
}

}  // namespace godwit::router_daemon
