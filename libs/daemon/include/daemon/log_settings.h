#ifndef DAEMON_LOG_SETTINGS_H_
#define DAEMON_LOG_SETTINGS_H_

#include "telemetry/log_options.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::daemon {

// Declares log_format and log_level.
void DeclareLogSettings(config::SettingsReader& reader);

// Returns the log options of these settings; they must include `process`.
telemetry::LogOptions LogOptionsOf(const config::Settings& settings);

}  // namespace godwit::daemon

#endif  // DAEMON_LOG_SETTINGS_H_
