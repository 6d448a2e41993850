#ifndef PROCESS_FLEET_PROCESS_H_
#define PROCESS_FLEET_PROCESS_H_

#include <memory>
#include <string>

#include "relay.h"
#include "support/child_process.h"

namespace godwit::process {

// A router or an agent, with the relays to its peers.
struct FleetProcess {
  std::string name;
  std::string data_centre;
  std::string settings_file;
  // Relay between the process and the platform.
  std::unique_ptr<Relay> platform;
  // Relay between the routers and this agent; null for a router.
  std::unique_ptr<Relay> links;
  // Backend server of this agent; null for a router.
  std::unique_ptr<support::ChildProcess> backend;
  std::unique_ptr<support::ChildProcess> process;
};

}  // namespace godwit::process

#endif  // PROCESS_FLEET_PROCESS_H_
