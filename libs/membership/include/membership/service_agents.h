#ifndef MEMBERSHIP_SERVICE_AGENTS_H_
#define MEMBERSHIP_SERVICE_AGENTS_H_

#include <vector>

#include "base/ids.h"

namespace godwit::membership {

// The agents in front of the backend servers of a service, from the
// configuration.
struct ServiceAgents {
  base::ServiceId service;
  std::vector<base::ProcessId> agents;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_SERVICE_AGENTS_H_
