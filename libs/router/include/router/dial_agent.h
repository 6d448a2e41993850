#ifndef ROUTER_DIAL_AGENT_H_
#define ROUTER_DIAL_AGENT_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace godwit::router {

// Command: open a link to an agent. LinkOpened or LinkClosed follows.
struct DialAgent {
  base::ProcessId process;
  std::string ip;
  uint16_t port = 0;
};

}  // namespace godwit::router

#endif  // ROUTER_DIAL_AGENT_H_
