#ifndef DISPATCH_BACKEND_H_
#define DISPATCH_BACKEND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::dispatch {

// A backend server's registration.
struct Backend {
  // Name of the registration. A restarted server may reuse it.
  std::string instance;
  // Start of this incarnation in milliseconds since the Unix epoch; 0 if not
  // stated.
  int64_t started_at_ms = 0;
  base::ServiceId service;
  base::Endpoint address;
  base::DataCentreId data_centre;
  // Version of its software; empty if not stated.
  std::string software_version;
  // Maximum number of concurrent requests.
  int64_t slots = 1;
  // The server takes no new work.
  bool draining = false;
  // How much longer the server is cold; empty if not stated.
  std::optional<base::Millis> cold_remaining;
  // The server states a time that can't be read.
  bool has_invalid_cold_remaining = false;

  // Unique for each incarnation.
  std::string key() const {
    return instance + "@" + std::to_string(started_at_ms);
  }

  friend bool operator==(const Backend& a, const Backend& b) {
    return std::tie(a.instance, a.started_at_ms, a.service, a.address,
                    a.data_centre, a.software_version, a.slots, a.draining,
                    a.cold_remaining, a.has_invalid_cold_remaining) ==
           std::tie(b.instance, b.started_at_ms, b.service, b.address,
                    b.data_centre, b.software_version, b.slots, b.draining,
                    b.cold_remaining, b.has_invalid_cold_remaining);
  }
  friend bool operator!=(const Backend& a, const Backend& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_H_
