#ifndef RELAY_IDLE_REUSE_LIMIT_H_
#define RELAY_IDLE_REUSE_LIMIT_H_

#include <optional>

#include "base/millis.h"

namespace godwit::relay {

// How long a kept connection may rest before its next request. Servers, and
// what lies between, may forget a resting connection without notice; whatever
// is sent on it next is lost, and may not be sent again. Once that was seen,
// only connections that idle_time for much less are used for a while.
class IdleReuseLimit {
 public:
  // The request sent on a connection that had idle_time for `idle_time` was
  // lost `after` it was sent, before any byte of its answer.
  void OnLost(base::Millis now,
              base::Millis idle_time,
              base::Millis time_to_loss);

  // True when a connection that idle_time for so long may be used.
  bool Allows(base::Millis now, base::Millis idle_time) const;

 private:
  std::optional<base::Millis> limit_;
  base::Millis expires_at_;
};

}  // namespace godwit::relay

#endif  // RELAY_IDLE_REUSE_LIMIT_H_
