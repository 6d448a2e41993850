#ifndef MEMBERSHIP_PRUNE_H_
#define MEMBERSHIP_PRUNE_H_

#include "base/millis.h"

namespace godwit::membership {

// Edit: delete incarnations that were removed at or before a wall time.
struct Prune {
  base::Millis removed_until;

  friend bool operator==(const Prune& a, const Prune& b) {
    return a.removed_until == b.removed_until;
  }
  friend bool operator!=(const Prune& a, const Prune& b) { return !(a == b); }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_PRUNE_H_
