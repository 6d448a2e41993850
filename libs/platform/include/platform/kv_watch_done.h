#ifndef PLATFORM_KV_WATCH_DONE_H_
#define PLATFORM_KV_WATCH_DONE_H_

#include <cstdint>
#include <vector>

#include "platform/kv_change.h"

namespace godwit::platform {

// Event: outcome of a watch.
struct KvWatchDone {
  enum class Outcome : uint8_t {
    // `changes` is empty when the watch timed out without a change.
    kChanges,
    // The KV has compacted the changes since the watch's start revision.
    kCompacted,
    // The KV was unavailable, or the watch was interrupted.
    kFailed,
  };

  Outcome outcome = Outcome::kFailed;
  std::vector<KvChange> changes;
  // Revision to continue watching from.
  int64_t revision = 0;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WATCH_DONE_H_
