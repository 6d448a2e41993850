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

// PEM files that links carry TLS with; all empty for links without TLS.
struct LinkTls {
  std::string certificate;
  std::string key;
  std::string authority;

  bool enabled() const noexcept { return !certificate.empty(); }
  // Why the certificate can't be shown at present; empty when it can.
  std::optional<base::Error> Check() const;
};

// Declares link_certificate_file, link_key_file and link_authority_file.
void DeclareLinkTls(config::SettingsReader& reader);

// The files that the settings name. Empty, with `error` set, when only some
// are set or the certificate can't be shown.
std::optional<LinkTls> LinkTlsOf(const config::Settings& settings,
                                 base::Error* error);

}  // namespace godwit::daemon

#endif  // DAEMON_LINK_TLS_H_
