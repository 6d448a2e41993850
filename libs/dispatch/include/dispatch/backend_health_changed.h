#ifndef DISPATCH_BACKEND_HEALTH_CHANGED_H_
#define DISPATCH_BACKEND_HEALTH_CHANGED_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace godwit::dispatch {

// Command: record a change of the router's estimate of a backend server's
// health, for logs.
struct BackendHealthChanged {
  enum class Health : uint8_t {
    kAdded,
    kDraining,
    kRemoved,
    // It refused a request and wants none for a time.
    kBackoff,
    // An answer states a load that can't be read.
    kInvalidLoad,
    kEjected,
    kReadmitted
  };

  Health health = Health::kAdded;
  std::string instance;
  base::ServiceId service;
  std::string reason;
  // Stated for registrations.
  std::string software_version;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_HEALTH_CHANGED_H_
