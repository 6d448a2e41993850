#ifndef MEMBERSHIP_AGENT_VIEW_H_
#define MEMBERSHIP_AGENT_VIEW_H_

#include <tuple>

#include "base/ids.h"
#include "link/connection_id.h"

namespace godwit::membership {

// A router's view of one life of an agent.
struct AgentView {
  base::ProcessId process;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  // The link to it; 0 when not connected.
  link::ConnectionId connection = 0;
  // True when the link is up and was heard within the silence limit.
  bool connected = false;
  // True when the agent, the fleet record or the VM list said that it takes no
  // new work.
  bool leaving = false;
  // True when the fleet record lists the life.
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
