#ifndef CONFIG_KV_WATCH_FAILED_H_
#define CONFIG_KV_WATCH_FAILED_H_

namespace godwit::config {

// Event of ConfigSync: a WatchKv failed.
struct KvWatchFailed {
  friend bool operator==(const KvWatchFailed& /*a*/,
                         const KvWatchFailed& /*b*/) {
    return true;
  }
  friend bool operator!=(const KvWatchFailed& /*a*/,
                         const KvWatchFailed& /*b*/) {
    return false;
  }
};

}  // namespace godwit::config

#endif  // CONFIG_KV_WATCH_FAILED_H_
