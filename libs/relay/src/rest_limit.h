#ifndef RELAY_REST_LIMIT_H_
#define RELAY_REST_LIMIT_H_

#include <optional>

#include "base/millis.h"

namespace godwit::relay {

// How long a kept connection may rest before its next request. Servers, and
// what lies between, may forget a resting connection without notice; whatever
// is sent on it next is lost, and may not be sent again. Once that was seen,
// only connections that rested for much less are used for a while.
class RestLimit {
 public:
  // The request sent on a connection that had rested for `rested` was lost
  // `after` it was sent, before any byte of its answer.
  void OnLost(base::Millis now, base::Millis rested, base::Millis after);

  // True when a connection that rested for so long may be used.
  bool Allows(base::Millis now, base::Millis rested) const;

 private:
  std::optional<base::Millis> limit_;
  base::Millis forget_at_;
};

}  // namespace godwit::relay

#endif  // RELAY_REST_LIMIT_H_
