#ifndef MEMBERSHIP_FLEET_AGENT_H_
#define MEMBERSHIP_FLEET_AGENT_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "membership/agent_state.h"

namespace godwit::membership {

// One agent incarnation in the fleet record.
struct FleetAgent {
  // Unique in the record.
  base::Incarnation incarnation;
  base::ProcessId process;
  // IP address and port that routers dial.
  std::string ip;
  uint16_t port = 0;
  base::DataCentreId data_centre;
  AgentState state = AgentState::kActive;
  // Wall time of the join.
  base::Millis joined_at;
  // Wall time of the removal; zero unless removed.
  base::Millis removed_at;

  friend bool operator==(const FleetAgent& a, const FleetAgent& b) {
    return std::tie(a.incarnation, a.process, a.ip, a.port, a.data_centre,
                    a.state, a.joined_at, a.removed_at) ==
           std::tie(b.incarnation, b.process, b.ip, b.port, b.data_centre,
                    b.state, b.joined_at, b.removed_at);
  }
  friend bool operator!=(const FleetAgent& a, const FleetAgent& b) {
    return !(a == b);
  }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_AGENT_H_
