#ifndef DISPATCH_BACKEND_H_
#define DISPATCH_BACKEND_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::dispatch {

// A backend server as it registered itself.
struct Backend {
  // Name of its registration. A restarted server may use it again.
  std::string instance;
  // Start of this incarnation, milliseconds since the Unix epoch; 0 when not
  // stated.
  int64_t started_at_ms = 0;
  base::ServiceId service;
  base::Endpoint address;
  base::DataCentreId data_centre;
  // Requests that it runs at once.
  int64_t slots = 1;
  // It takes no new work.
  bool draining = false;
  // Time for which it stays slow after its start.
  base::Millis warm_up;

  // Differs between any two incarnations.
  std::string key() const {
    return instance + "@" + std::to_string(started_at_ms);
  }

  friend bool operator==(const Backend& a, const Backend& b) {
    return std::tie(a.instance, a.started_at_ms, a.service, a.address,
                    a.data_centre, a.slots, a.draining, a.warm_up) ==
           std::tie(b.instance, b.started_at_ms, b.service, b.address,
                    b.data_centre, b.slots, b.draining, b.warm_up);
  }
  friend bool operator!=(const Backend& a, const Backend& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_H_
