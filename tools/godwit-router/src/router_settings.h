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

// PEM files that callers are served with; empty for plain HTTP.
struct CallerTls {
  std::string certificate;
  std::string key;

  bool enabled() const noexcept { return !certificate.empty(); }
  // Why the certificate can't be shown at present; empty when it can.
  std::optional<base::Error> Check() const;
};

// Declares the settings of the router.
void DeclareSettings(config::SettingsReader& reader);

// Identity of this life of the router, with a new incarnation and seed.
router::RouterOptions OptionsOf(const config::Settings& settings);

daemon::StopPlan::Limits StopLimitsOf(const config::Settings& settings);

// Empty, with `error` set, when only one file is set or the certificate can't
// be shown.
std::optional<CallerTls> CallerTlsOf(const config::Settings& settings,
                                     base::Error* error);

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ROUTER_SETTINGS_H_
