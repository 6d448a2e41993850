#ifndef GODWIT_EDGE_EDGE_SETTINGS_H_
#define GODWIT_EDGE_EDGE_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "daemon/stop_plan.h"
#include "dispatch/caller_limits.h"
#include "dispatch/dispatcher_options.h"
#include "relay/caller_rebalancer.h"
#include "relay/caller_server.h"
#include "relay/upstream_pool.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::edge {

// Declares the settings of the direct router.
void DeclareSettings(config::SettingsReader& reader);

dispatch::DispatcherOptions DispatcherOptionsFrom(
    const config::Settings& settings);

// Limits of the phases of a graceful shutdown, which add up to no more than the
// `stop_limit_ms` setting.
daemon::StopPlan::Limits StopLimitsFrom(const config::Settings& settings);

// Processor share of this VM, in thousandths of a core.
int64_t MillicoresFrom(const config::Settings& settings);

// `limits` with the configured ones instead of its own.
relay::CallerServer::Limits CallerLimitsFrom(
    const dispatch::CallerLimits& configured,
    relay::CallerServer::Limits limits);

// Options by the bandwidth of this VM.
relay::CallerRebalancer::Options RebalancerOptionsFrom(
    const config::Settings& settings);

// Limits by the memory and the file descriptors of this VM: a caller's
// connection may need a second one, to a backend server.
relay::CallerServer::Limits CallerLimitsFrom(const config::Settings& settings);
relay::UpstreamPool::Options PoolOptionsFrom(const config::Settings& settings);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_EDGE_SETTINGS_H_
