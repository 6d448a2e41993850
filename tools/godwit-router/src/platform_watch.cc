#include "platform_watch.h"

#include <utility>

#include "daemon/watch_fleet.h"
#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::router_daemon {
namespace {

constexpr base::Millis kWatchTimeout = base::Seconds(8);
constexpr base::Millis kRetryDelay = base::Seconds(1);
constexpr base::Millis kVmPollPeriod = base::Seconds(5);
constexpr base::Millis kLeasePollPeriod = base::Seconds(3);
constexpr char kRouterLeases[] = "routers/";
constexpr char kAgentLeases[] = "agents/";

}  // namespace

PlatformWatch::PlatformWatch(
    runtime::Runtime& runtime,
    platform::Client& client,
    std::function<void(const router::RouterEvent&)> on_event)
    : runtime_(runtime), client_(client), on_event_(std::move(on_event)) {}

void PlatformWatch::Start() {
  runtime_.Spawn([this] { WatchFleet(); });
  runtime_.Spawn([this] { PollVms(); });
  runtime_.Spawn([this] { PollLeases(); });
}

void PlatformWatch::WatchFleet() {
  daemon::WatchFleet(
      client_, kWatchTimeout, kRetryDelay,
      [this](const membership::FleetRecord& record, int64_t version) {
        on_event_(router::FleetRecordReceived{record, version});
        return true;
      });
}

void PlatformWatch::PollVms() {
  for (;;) {
    if (auto vms = client_.ListVms()) {
      on_event_(router::VmsListed{std::move(*vms)});
    }
    runtime::Runtime::SleepFor(kVmPollPeriod);
  }
}

void PlatformWatch::PollLeases() {
  for (;;) {
    router::LeasesListed leases;
    if (ListIncarnations(kRouterLeases, &leases.routers) &&
        ListIncarnations(kAgentLeases, &leases.agents)) {
      on_event_(leases);
    }
    runtime::Runtime::SleepFor(kLeasePollPeriod);
  }
}

bool PlatformWatch::ListIncarnations(
    const std::string& prefix,
    std::set<base::Incarnation>* incarnations) {
  const auto keys = client_.ListKeys(prefix);
  if (!keys) {
    return false;
  }
  for (const std::string& key : *keys) {
    incarnations->insert(base::Incarnation(key.substr(prefix.size())));
  }
  return true;
}

}  // namespace godwit::router_daemon
