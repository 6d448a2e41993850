#ifndef DAEMON_CERTIFICATE_CHECK_H_
#define DAEMON_CERTIFICATE_CHECK_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "base/millis.h"

namespace godwit::daemon {

// Checks that the first certificate of a PEM file is readable and valid at
// `wall`, in milliseconds since the Unix epoch. Returns the error for an
// unreadable, expired or not yet valid certificate, else nullopt.
std::optional<base::Error> CheckCertificate(const std::string& file,
                                            base::Millis wall);

}  // namespace godwit::daemon

#endif  // DAEMON_CERTIFICATE_CHECK_H_
