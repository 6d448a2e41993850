#ifndef DAEMON_LINK_TLS_H_
#define DAEMON_LINK_TLS_H_

#include <optional>
#include <string>

#include "base/error.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::daemon {

// PEM files for TLS on links; all empty if TLS is disabled.
struct LinkTls {
  std::string certificate;
  std::string key;
  std::string authority;

  bool enabled() const noexcept { return !certificate.empty(); }
  // Returns the error if the certificate is currently not usable, else nullopt.
  std::optional<base::Error> Check() const;
};

// Declares link_certificate_file, link_key_file and link_authority_file.
void DeclareLinkTls(config::SettingsReader& reader);

// Returns the files named by the settings. Returns nullopt and sets `error` if
// only some of them are set or the certificate is not usable.
std::optional<LinkTls> LinkTlsOf(const config::Settings& settings,
                                 base::Error* error);

}  // namespace godwit::daemon

#endif  // DAEMON_LINK_TLS_H_
