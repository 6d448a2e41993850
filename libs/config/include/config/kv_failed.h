#ifndef CONFIG_KV_FAILED_H_
#define CONFIG_KV_FAILED_H_

namespace godwit::config {

// Event of Spread: the KV did not answer a WatchKv.
struct KvFailed {
  friend bool operator==(const KvFailed& /*a*/, const KvFailed& /*b*/) {
    return true;
  }
  friend bool operator!=(const KvFailed& /*a*/, const KvFailed& /*b*/) {
    return false;
  }
};

}  // namespace godwit::config

#endif  // CONFIG_KV_FAILED_H_
