#ifndef MEMBERSHIP_FLEET_COMMAND_H_
#define MEMBERSHIP_FLEET_COMMAND_H_

#include <variant>

#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::membership {

// Commands issued by a FleetEditor.
using FleetCommand = std::variant<platform::KvRead, platform::KvWrite>;

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_COMMAND_H_
