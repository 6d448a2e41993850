#ifndef CONFIG_SPREAD_COMMAND_H_
#define CONFIG_SPREAD_COMMAND_H_

#include <variant>

#include "config/config_rejected.h"
#include "config/in_force.h"
#include "config/pull_from.h"
#include "config/push_to.h"
#include "config/watch_kv.h"

namespace godwit::config {

// What a Spread machine asks its process to do.
using SpreadCommand =
    std::variant<WatchKv, PullFrom, PushTo, InForce, ConfigRejected>;

}  // namespace godwit::config

#endif  // CONFIG_SPREAD_COMMAND_H_
