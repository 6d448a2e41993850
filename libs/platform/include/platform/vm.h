#ifndef PLATFORM_VM_H_
#define PLATFORM_VM_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace godwit::platform {

// An entry of the platform's list of VMs.
struct Vm {
  // Name of the fleet process that runs on it.
  base::ProcessId process;
  // IP address and port that its links connect to.
  std::string ip;
  uint16_t port = 0;
  // "router" or "agent".
  std::string role;
  base::DataCentreId data_centre;
  // True when the platform is about to remove the VM.
  bool leaving = false;
};

}  // namespace godwit::platform

#endif  // PLATFORM_VM_H_
