#ifndef GODWIT_ROUTER_ROUTER_SETTINGS_H_
#define GODWIT_ROUTER_ROUTER_SETTINGS_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "daemon/stop_plan.h"
#include "router/router_options.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::router_daemon {

// PEM files for TLS to callers; empty for plain HTTP.
struct CallerTls {
  std::string certificate;
  std::string key;

  bool enabled() const noexcept { return !certificate.empty(); }
  // Returns the error if the certificate is currently not usable, else nullopt.
  std::optional<base::Error> Check() const;
};

// Declares the settings of the router.
void DeclareSettings(config::SettingsReader& reader);

// Builds the router options with a new incarnation and seed.
router::RouterOptions OptionsOf(const config::Settings& settings);

daemon::StopPlan::Limits StopLimitsOf(const config::Settings& settings);

// Memory for the bodies of callers' requests.
size_t HeldBodyBytesOf(const config::Settings& settings);

// Largest number of caller connections that the file descriptors allow.
size_t MaxConnectionsOf(const config::Settings& settings);

// Returns nullopt and sets `error` if only one of the files is set or the
// certificate is not usable.
std::optional<CallerTls> CallerTlsOf(const config::Settings& settings,
                                     base::Error* error);

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ROUTER_SETTINGS_H_
