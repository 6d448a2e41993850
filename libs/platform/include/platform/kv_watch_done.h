#ifndef PLATFORM_KV_WATCH_DONE_H_
#define PLATFORM_KV_WATCH_DONE_H_

#include <vector>

#include "platform/kv_change.h"
#include "platform/kv_version.h"

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
  KvVersion revision;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WATCH_DONE_H_
