#include "daemon/link_tls.h"

#include "base/clocks.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/certificate_check.h"

namespace godwit::daemon {

std::optional<base::Error> LinkTls::Check() const {
  return CheckCertificate(certificate, base::WallNow());
}

void DeclareLinkTls(config::SettingsReader& reader) {
  reader
      .String("link_certificate_file",
              "PEM certificate for links; links carry TLS when it is set")
      .Optional()
      .String("link_key_file", "PEM key of that certificate")
      .Optional()
      .String("link_authority_file",
              "PEM certificate of the authority that signs the fleet's")
      .Optional();
}

std::optional<LinkTls> LinkTlsOf(const config::Settings& settings,
                                 base::Error* error) {
  const LinkTls files{settings.Text("link_certificate_file"),
                      settings.Text("link_key_file"),
                      settings.Text("link_authority_file")};
  if (files.key.empty() == files.enabled() ||
      files.authority.empty() == files.enabled()) {
    *error = base::Error(base::ErrorKind::kInvalidArgument,
                         "only some of the link_*_file settings are set",
                         "set all three or none");
    return std::nullopt;
  }
  if (files.enabled()) {
    if (const auto certificate_error = files.Check()) {
      *error = *certificate_error;
      return std::nullopt;
    }
  }
  return files;
}

}  // namespace godwit::daemon
