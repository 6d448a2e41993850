#ifndef ROUTER_LINK_OPENED_H_
#define ROUTER_LINK_OPENED_H_

#include "link/connection_id.h"
#include "link/hello.h"

namespace godwit::router {

// Event: a link to an agent was opened.
struct LinkOpened {
  link::ConnectionId connection = 0;
  link::Hello peer;
};

}  // namespace godwit::router

#endif  // ROUTER_LINK_OPENED_H_
