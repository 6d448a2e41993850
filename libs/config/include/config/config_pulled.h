#ifndef CONFIG_CONFIG_PULLED_H_
#define CONFIG_CONFIG_PULLED_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::config {

// Event of ConfigSync: a peer requested a newer configuration.
struct ConfigPulled {
  base::ProcessId peer;
  // Revision that the peer has.
  int64_t after_revision = 0;

  friend bool operator==(const ConfigPulled& a, const ConfigPulled& b) {
    return std::tie(a.peer, a.after_revision) ==
           std::tie(b.peer, b.after_revision);
  }
  friend bool operator!=(const ConfigPulled& a, const ConfigPulled& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_PULLED_H_
