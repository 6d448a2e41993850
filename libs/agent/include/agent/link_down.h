#ifndef AGENT_LINK_DOWN_H_
#define AGENT_LINK_DOWN_H_

#include <tuple>

#include "link/connection_id.h"

namespace godwit::agent {

// Event: a link is closed.
struct LinkDown {
  link::ConnectionId connection = 0;

  friend bool operator==(const LinkDown& a, const LinkDown& b) {
    return std::tie(a.connection) == std::tie(b.connection);
  }
  friend bool operator!=(const LinkDown& a, const LinkDown& b) {
    return !(a == b);
  }
};

}  // namespace godwit::agent

#endif  // AGENT_LINK_DOWN_H_
