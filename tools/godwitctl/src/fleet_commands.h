#ifndef GODWITCTL_FLEET_COMMANDS_H_
#define GODWITCTL_FLEET_COMMANDS_H_

#include <string>
#include <vector>

#include "result.h"

namespace godwit::ctl {

struct Session;

// `fleet status`.
Result FleetStatus(Session& session, const std::vector<std::string>& arguments);

}  // namespace godwit::ctl

#endif  // GODWITCTL_FLEET_COMMANDS_H_
