#ifndef RELAY_IDLE_REUSE_LIMIT_H_
#define RELAY_IDLE_REUSE_LIMIT_H_

#include <optional>

#include "base/millis.h"

namespace godwit::relay {

// Learns how long a kept connection may be idle before it is reused. Servers
// and middleboxes may drop the state of an idle connection without notice; the
// next request sent on it is lost and may not be safe to send again. After such
// a loss, only connections with a much shorter idle time are reused for a
// while.
class IdleReuseLimit {
 public:
  // Records that the request sent on a connection that had been idle for
  // `idle_time` was lost `time_to_loss` after it was sent, before any byte of
  // its answer.
  void OnLost(base::Millis now,
              base::Millis idle_time,
              base::Millis time_to_loss);

  // True when a connection that has been idle for `idle_time` may be reused.
  bool Allows(base::Millis now, base::Millis idle_time) const;

 private:
  std::optional<base::Millis> limit_;
  base::Millis expires_at_;
};

}  // namespace godwit::relay

#endif  // RELAY_IDLE_REUSE_LIMIT_H_
