#ifndef MEMBERSHIP_AGENT_VIEW_H_
#define MEMBERSHIP_AGENT_VIEW_H_

#include <tuple>

#include "base/ids.h"
#include "link/connection_id.h"

namespace godwit::membership {

// A router's view of one agent incarnation.
struct AgentView {
  base::ProcessId process;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  // Link to the agent; 0 if not connected.
  link::ConnectionId connection = 0;
  // True if the link is up and a message was received on it within the link
  // timeout.
  bool connected = false;
  // True if the agent, the fleet record or the VM list reported that it accepts
  // no new work.
  bool leaving = false;
  // True if the fleet record lists the incarnation.
  bool joined = false;

  friend bool operator==(const AgentView& a, const AgentView& b) {
    return std::tie(a.process, a.incarnation, a.data_centre, a.connection,
                    a.connected, a.leaving, a.joined) ==
           std::tie(b.process, b.incarnation, b.data_centre, b.connection,
                    b.connected, b.leaving, b.joined);
  }
  friend bool operator!=(const AgentView& a, const AgentView& b) {
    return !(a == b);
  }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_AGENT_VIEW_H_
