#ifndef CONFIG_WATCH_KV_H_
#define CONFIG_WATCH_KV_H_

#include <cstdint>
#include <tuple>

#include "base/millis.h"

namespace godwit::config {

// Command of ConfigSync: read the configuration key from the KV, waiting until
// its version differs from `after_revision`. Answered by KvWatchAnswered or
// KvWatchFailed; the next WatchKv is issued only after that.
struct WatchKv {
  int64_t after_revision = 0;
  // Maximum wait; 0 to read immediately.
  base::Millis wait;

  friend bool operator==(const WatchKv& a, const WatchKv& b) {
    return std::tie(a.after_revision, a.wait) ==
           std::tie(b.after_revision, b.wait);
  }
  friend bool operator!=(const WatchKv& a, const WatchKv& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_WATCH_KV_H_
