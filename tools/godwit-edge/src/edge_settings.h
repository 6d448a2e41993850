#ifndef GODWIT_EDGE_EDGE_SETTINGS_H_
#define GODWIT_EDGE_EDGE_SETTINGS_H_

#include "daemon/stop_plan.h"
#include "dispatch/dispatcher_options.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::edge {

// Declares the settings of the direct router.
void DeclareSettings(config::SettingsReader& reader);

dispatch::DispatcherOptions DispatcherOptionsFrom(
    const config::Settings& settings);

// Order of a stop that is over within the time that the settings give it.
daemon::StopPlan::Limits StopLimitsFrom(const config::Settings& settings);

// Connections of callers that the descriptors allow: each may need another one
// to a backend server.
size_t MaxCallerConnections(const config::Settings& settings);

}  // namespace godwit::edge

#endif  // GODWIT_EDGE_EDGE_SETTINGS_H_
