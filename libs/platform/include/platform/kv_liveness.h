#ifndef PLATFORM_KV_LIVENESS_H_
#define PLATFORM_KV_LIVENESS_H_

#include <cstddef>
#include <optional>

#include "base/millis.h"

namespace godwit::platform {

// Judges whether a pending watch may still be answered: from the outcomes of
// other calls, and by a bound on the wait of watches. A KV that took a watch
// while it answered nothing may never answer it, although it answers other
// calls again; and it may lose the answers of watches only. Says when a call is
// due that tells. No I/O. Not thread-safe.
class KvLiveness {
 public:
  // `change_detection` is the time within which a change is to be noticed
  // although the watch that would report it is never answered.
  explicit KvLiveness(base::Millis change_detection);

  // Sets the number of processes that share the KV. Together they make few
  // calls that are due for this reason only.
  void SetProcesses(size_t count);

  // A call other than a watch was answered.
  void OnAnswered(base::Millis started_at);
  // A call ended without an answer.
  void OnUnanswered(base::Millis now);

  // True if no call shows that the KV answered recently.
  bool IsProbeDue(base::Millis now) const;
  // Time for which a watch may ask the KV to wait for changes. A KV that does
  // not answer it by then, late answers included, has lost it.
  base::Millis watch_wait() const noexcept { return watch_wait_; }
  // False if a call went unanswered while the watch was pending.
  bool IsWatchReliable(base::Millis sent_at) const;
  // Start of the latest call that was answered.
  base::Millis answered_at() const noexcept { return answered_at_; }

 private:
  const base::Millis watch_wait_;
  size_t processes_ = 1;
  base::Millis answered_at_;
  // End of the latest call without an answer.
  std::optional<base::Millis> unanswered_at_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_LIVENESS_H_
