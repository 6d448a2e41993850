#ifndef DAEMON_CERTIFICATE_CHECK_H_
#define DAEMON_CERTIFICATE_CHECK_H_

#include <optional>
#include <string>

#include "base/error.h"
#include "base/millis.h"

namespace godwit::daemon {

// Why the first certificate of a PEM file can't be shown at that wall time:
// unreadable, expired or not valid yet. Empty when it can.
std::optional<base::Error> CheckCertificate(const std::string& file,
                                            base::Millis wall);

}  // namespace godwit::daemon

#endif  // DAEMON_CERTIFICATE_CHECK_H_
