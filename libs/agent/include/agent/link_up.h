#ifndef AGENT_LINK_UP_H_
#define AGENT_LINK_UP_H_

#include <tuple>

#include "base/ids.h"
#include "link/connection_id.h"

namespace godwit::agent {

// Event: a link to a peer is up.
struct LinkUp {
  link::ConnectionId connection = 0;
  base::ProcessId process;
  // Incarnation of the peer.
  base::Incarnation incarnation;

  friend bool operator==(const LinkUp& a, const LinkUp& b) {
    return std::tie(a.connection, a.process, a.incarnation) ==
           std::tie(b.connection, b.process, b.incarnation);
  }
  friend bool operator!=(const LinkUp& a, const LinkUp& b) { return !(a == b); }
};

}  // namespace godwit::agent

#endif  // AGENT_LINK_UP_H_
