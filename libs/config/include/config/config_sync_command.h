#ifndef CONFIG_CONFIG_SYNC_COMMAND_H_
#define CONFIG_CONFIG_SYNC_COMMAND_H_

#include <variant>

#include "config/activate_config.h"
#include "config/config_rejected.h"
#include "config/pull_from.h"
#include "config/push_to.h"
#include "config/watch_kv.h"

namespace godwit::config {

// Commands of ConfigSync to its process.
using ConfigSyncCommand =
    std::variant<WatchKv, PullFrom, PushTo, ActivateConfig, ConfigRejected>;

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_SYNC_COMMAND_H_
