#ifndef AGENT_FLEET_SEEN_H_
#define AGENT_FLEET_SEEN_H_

#include <cstdint>
#include <tuple>

namespace godwit::agent {

// The fleet record was read.
struct FleetSeen {
  // Its version.
  int64_t version = 0;

  friend bool operator==(const FleetSeen& a, const FleetSeen& b) {
    return std::tie(a.version) == std::tie(b.version);
  }
  friend bool operator!=(const FleetSeen& a, const FleetSeen& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_FLEET_SEEN_H_
