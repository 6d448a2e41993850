#ifndef MEMBERSHIP_SERVICE_AGENTS_H_
#define MEMBERSHIP_SERVICE_AGENTS_H_

#include <vector>

#include "base/ids.h"

namespace godwit::membership {

// The agents before a service's backend servers, from the configuration.
struct ServiceAgents {
  base::ServiceId service;
  std::vector<base::ProcessId> agents;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_SERVICE_AGENTS_H_
