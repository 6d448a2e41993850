#ifndef CONFIG_CONFIG_SYNC_TICK_H_
#define CONFIG_CONFIG_SYNC_TICK_H_

namespace godwit::config {

// Event of ConfigSync: time has passed. Required at least every 250 ms.
struct ConfigSyncTick {
  friend bool operator==(const ConfigSyncTick& /*a*/,
                         const ConfigSyncTick& /*b*/) {
    return true;
  }
  friend bool operator!=(const ConfigSyncTick& /*a*/,
                         const ConfigSyncTick& /*b*/) {
    return false;
  }
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_SYNC_TICK_H_
