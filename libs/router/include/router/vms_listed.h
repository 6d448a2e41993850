#ifndef ROUTER_VMS_LISTED_H_
#define ROUTER_VMS_LISTED_H_

#include <vector>

#include "platform/vm.h"

namespace godwit::router {

// Event: the platform's list of VMs was read.
struct VmsListed {
  std::vector<platform::Vm> vms;
};

}  // namespace godwit::router

#endif  // ROUTER_VMS_LISTED_H_
