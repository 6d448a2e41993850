#ifndef PLATFORM_KV_WATCH_DONE_H_
#define PLATFORM_KV_WATCH_DONE_H_

#include <cstdint>
#include <vector>

#include "platform/kv_change.h"

namespace godwit::platform {

// Event: outcome of waiting for changes.
struct KvWatchDone {
  enum class Outcome : uint8_t {
    // `changes` may be empty: the wait is over.
    kChanges,
    // The KV no longer has the changes since that revision.
    kCompacted,
    // The KV could not be asked, or the wait was cut.
    kFailed,
  };

  Outcome outcome = Outcome::kFailed;
  std::vector<KvChange> changes;
  // Where to go on.
  int64_t revision = 0;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WATCH_DONE_H_
