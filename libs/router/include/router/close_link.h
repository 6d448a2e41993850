#ifndef ROUTER_CLOSE_LINK_H_
#define ROUTER_CLOSE_LINK_H_

#include "link/connection_id.h"

namespace godwit::router {

// Command: close a link.
struct CloseLink {
  link::ConnectionId connection = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_CLOSE_LINK_H_
