#ifndef CONFIG_KV_WATCH_ANSWERED_H_
#define CONFIG_KV_WATCH_ANSWERED_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::config {

// Event of ConfigSync: the KV answered a WatchKv.
struct KvWatchAnswered {
  // Version of the configuration key; 0 when it does not exist.
  int64_t revision = 0;
  // Value of the key; empty when the version equals that of the WatchKv.
  std::string text;

  friend bool operator==(const KvWatchAnswered& a, const KvWatchAnswered& b) {
    return std::tie(a.revision, a.text) == std::tie(b.revision, b.text);
  }
  friend bool operator!=(const KvWatchAnswered& a, const KvWatchAnswered& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_KV_WATCH_ANSWERED_H_
