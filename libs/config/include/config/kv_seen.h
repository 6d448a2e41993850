#ifndef CONFIG_KV_SEEN_H_
#define CONFIG_KV_SEEN_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::config {

// Event of Spread: the KV answered a WatchKv.
struct KvSeen {
  // Version of the configuration's key; 0 when it does not exist.
  int64_t revision = 0;
  // Its value; empty when the version is the one that the watch named.
  std::string text;

  friend bool operator==(const KvSeen& a, const KvSeen& b) {
    return std::tie(a.revision, a.text) == std::tie(b.revision, b.text);
  }
  friend bool operator!=(const KvSeen& a, const KvSeen& b) { return !(a == b); }
};

}  // namespace godwit::config

#endif  // CONFIG_KV_SEEN_H_
