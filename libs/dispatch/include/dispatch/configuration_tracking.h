#ifndef DISPATCH_CONFIGURATION_TRACKING_H_
#define DISPATCH_CONFIGURATION_TRACKING_H_

#include <optional>
#include <tuple>

#include "base/millis.h"

namespace godwit::dispatch {

// Event: whether this router learns of changes of the configuration and of the
// registry of backend servers, and whether the platform's store answers its
// other calls.
struct ConfigurationTracking {
  bool is_followed = true;
  bool store_answers = true;
  // When the store last answered a list or watch of the configuration.
  base::Millis answered_at{};
  bool registry_is_followed = true;
  // Until when it certainly was followed, while it is not; empty if that is not
  // known.
  std::optional<base::Millis> followed_until{};

  friend bool operator==(const ConfigurationTracking& a,
                         const ConfigurationTracking& b) {
    return std::tie(a.is_followed, a.store_answers, a.answered_at,
                    a.registry_is_followed, a.followed_until) ==
           std::tie(b.is_followed, b.store_answers, b.answered_at,
                    b.registry_is_followed, b.followed_until);
  }
  friend bool operator!=(const ConfigurationTracking& a,
                         const ConfigurationTracking& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONFIGURATION_TRACKING_H_
