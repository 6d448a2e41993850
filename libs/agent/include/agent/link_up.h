#ifndef AGENT_LINK_UP_H_
#define AGENT_LINK_UP_H_

#include <tuple>

#include "base/ids.h"
#include "link/connection_id.h"

namespace godwit::agent {

// A link to a peer is up.
struct LinkUp {
  // The link.
  link::ConnectionId connection = 0;
  // The peer.
  base::ProcessId process;
  // Its life.
  base::Incarnation incarnation;

  friend bool operator==(const LinkUp& a, const LinkUp& b) {
    return std::tie(a.connection, a.process, a.incarnation) ==
           std::tie(b.connection, b.process, b.incarnation);
  }
  friend bool operator!=(const LinkUp& a, const LinkUp& b) { return !(a == b); }
};

}  // namespace godwit::agent

#endif  // AGENT_LINK_UP_H_
