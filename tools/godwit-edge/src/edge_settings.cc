#include "edge_settings.h"

#include <algorithm>
#include <string>

#include "adapter/configuration.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/log_settings.h"
#include "daemon/new_incarnation.h"

namespace godwit::edge {
namespace {

constexpr int64_t kMinStopMillis = 1000;
constexpr int64_t kMaxStopMillis = 3'600'000;
constexpr int64_t kMaxDescriptors = 1'000'000;
constexpr int64_t kMinMemoryMb = 16;
constexpr int64_t kMaxMemoryMb = 1'000'000;
constexpr size_t kBytesPerMb = 1'000'000;
// Shares of the memory that bodies of requests may take, and answers that
// callers have not read with requests that wait behind others.
constexpr size_t kBodyMemoryDivisor = 3;
constexpr size_t kBufferMemoryDivisor = 4;
// Largest limit on heads that a configuration can set.
constexpr size_t kMaxHeaderBytes = size_t{1024} * 1024;
constexpr int64_t kMaxRetries = 1'000'000;
constexpr int64_t kMaxCostMillis = 60'000;
constexpr int64_t kMaxRetryWindowMillis = 600'000;
constexpr int64_t kMaxChangeDetectionMillis = 60'000;
// The share of a VM may be a small part of a core.
constexpr double kMinProcessorShare = 0.001;
constexpr double kMaxProcessorShare = 1024;
constexpr double kMillicoresPerCore = 1000;
constexpr double kMaxLinkMbps = 1'000'000;
constexpr double kBytesPerMbit = 125'000;
// Values of the setting `capacity_model`.
constexpr char kNever[] = "never";
constexpr char kStated[] = "stated";
constexpr char kAlways[] = "always";

// The load balancer probes readiness every second and stops sending requests
// after two failed probes; requests that it sends before that must be served.
constexpr base::Millis kMaxGrace(3'000);
// Share of a short stop limit that the grace period takes.
constexpr int64_t kGraceNumerator = 3;
constexpr int64_t kGraceDenominator = 8;
// Time reserved at the end of the shutdown for the transfer of budgets and for
// the last bytes of answers.
constexpr base::Millis kTransferTimeout(500);
constexpr base::Millis kStopMargin(400);
// File descriptors that are not available for connections.
constexpr int64_t kReservedDescriptors = 250;

dispatch::PlacementOptions::CapacityModelUse CapacityModelUseFrom(
    const std::string& text) {
  using Use = dispatch::PlacementOptions::CapacityModelUse;
  if (text == kAlways) {
    return Use::kAlways;
  }
  return text == kStated ? Use::kStated : Use::kNever;
}

size_t HalfOfDescriptors(const config::Settings& settings) {
  return static_cast<size_t>(
      (settings.Integer("descriptors") - kReservedDescriptors) / 2);
}

}  // namespace

void DeclareSettings(config::SettingsReader& reader) {
  reader.Name("process", "name of this router, stable over restarts")
      .Name("data_centre", "where this router runs")
      .Address("platform", "IP:PORT of the platform's store")
      .Address("callers", "IP:PORT that callers connect to")
      .Address("readiness",
               "IP:PORT that answers 200 while callers may be sent here")
      .Address("routers", "IP:PORT for datagrams of the fleet's other routers")
      .Address("metrics", "IP:PORT that serves /metrics")
      .Optional()
      .Duration("stop_limit_ms",
                "time from SIGTERM within which the router ends",
                kMinStopMillis, kMaxStopMillis)
      .Default("8000")
      .Real("retry_ratio",
            "retries to a service as a share of its requests, all routers", 0,
            1)
      .Default("0.2")
      .Real("retry_slack", "retries to a service beyond that share", 0,
            kMaxRetries)
      .Default("10")
      .Duration("retry_window_ms",
                "span of time to which the bound on retries applies; 0: a "
                "router that starts may retry at once",
                0, kMaxRetryWindowMillis)
      .Default("10000")
      .Duration("change_detection_ms",
                "time within which changes in the platform's store are noticed "
                "although it loses the answers that report them",
                0, kMaxChangeDetectionMillis)
      .Default("3000")
      .Duration("other_data_centre_cost_ms",
                "how much sooner a backend server of another data centre must "
                "answer to be chosen",
                0, kMaxCostMillis)
      .Default("40")
      .Choice(
          "capacity_model",
          "services whose servers' times the capacity model predicts: those "
          "whose servers state how long work takes now, or all with an "
          "engine profile",
          {kNever, kStated, kAlways})
      .Default(kNever)
      .Real("processor_share",
            "cores that this VM provides; routers on larger VMs lend budgets",
            kMinProcessorShare, kMaxProcessorShare)
      .Default("1")
      .Real("link_mbps",
            "bandwidth of this VM's link, each direction; 0 if unknown. While "
            "it is saturated, callers are handed over to other routers",
            0, kMaxLinkMbps)
      .Default("0")
      .Integer("memory_mb",
               "memory of this VM, of which a third may hold the bodies and "
               "large heads of callers' requests, and a quarter answers that "
               "they have not "
               "read and requests that wait behind others",
               kMinMemoryMb, kMaxMemoryMb)
      .Default("256")
      .Integer("descriptors", "file descriptors that this process may use",
               kReservedDescriptors * 2, kMaxDescriptors)
      .Default("4096");
  daemon::DeclareLogSettings(reader);
}

dispatch::DispatcherOptions DispatcherOptionsFrom(
    const config::Settings& settings) {
  dispatch::DispatcherOptions options;
  options.process = base::ProcessId(settings.Text("process"));
  options.incarnation = daemon::NewIncarnation(options.process);
  options.placement.data_centre =
      base::DataCentreId(settings.Text("data_centre"));
  options.placement.other_data_centre_cost =
      settings.Duration("other_data_centre_cost_ms");
  options.placement.capacity_model =
      CapacityModelUseFrom(settings.Text("capacity_model"));
  options.retry_ratio = settings.Real("retry_ratio");
  options.retry_slack = settings.Real("retry_slack");
  options.retry_window = settings.Duration("retry_window_ms");
  options.configuration_key = std::string(adapter::ConfigurationKey());
  return options;
}

daemon::StopPlan::Limits StopLimitsFrom(const config::Settings& settings) {
  const base::Millis limit = settings.Duration("stop_limit_ms");
  daemon::StopPlan::Limits limits;
  limits.grace = std::min(
      kMaxGrace,
      base::Millis(limit.count() * kGraceNumerator / kGraceDenominator));
  limits.drain = std::max(
      base::Millis(0), limit - limits.grace - kTransferTimeout - kStopMargin);
  limits.budget_return = kTransferTimeout;
  return limits;
}

int64_t MillicoresFrom(const config::Settings& settings) {
  return static_cast<int64_t>(settings.Real("processor_share") *
                              kMillicoresPerCore);
}

relay::CallerServer::Limits CallerLimitsFrom(
    const dispatch::CallerLimits& configured,
    relay::CallerServer::Limits limits) {
  const auto bytes = [](int64_t value, size_t largest) {
    return std::min(static_cast<size_t>(std::max<int64_t>(0, value)), largest);
  };
  limits.header_bytes = bytes(configured.header_bytes, kMaxHeaderBytes);
  // A VM serves no body that takes all of its memory for bodies.
  limits.body_bytes = bytes(configured.body_bytes, limits.held_body_bytes);
  limits.request_timeout = configured.request_timeout;
  limits.keep_alive_timeout = configured.keep_alive_timeout;
  return limits;
}

relay::CallerRebalancer::Options RebalancerOptionsFrom(
    const config::Settings& settings) {
  relay::CallerRebalancer::Options options;
  options.link_rate = settings.Real("link_mbps") * kBytesPerMbit;
  return options;
}

relay::UpstreamPool::Options PoolOptionsFrom(const config::Settings& settings) {
  relay::UpstreamPool::Options options;
  options.connections = HalfOfDescriptors(settings);
  return options;
}

relay::CallerServer::Limits CallerLimitsFrom(const config::Settings& settings) {
  const size_t memory =
      static_cast<size_t>(settings.Integer("memory_mb")) * kBytesPerMb;
  relay::CallerServer::Limits limits;
  limits.connections = HalfOfDescriptors(settings);
  limits.held_body_bytes = memory / kBodyMemoryDivisor;
  limits.held_buffer_bytes = memory / kBufferMemoryDivisor;
  return limits;
}

}  // namespace godwit::edge
