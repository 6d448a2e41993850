#ifndef MEMBERSHIP_MARK_REMOVED_H_
#define MEMBERSHIP_MARK_REMOVED_H_

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::membership {

// Edit: an incarnation has ended. No effect if it is unknown or already
// removed.
struct MarkRemoved {
  base::Incarnation incarnation;
  // Wall time.
  base::Millis at;

  friend bool operator==(const MarkRemoved& a, const MarkRemoved& b) {
    return a.incarnation == b.incarnation && a.at == b.at;
  }
  friend bool operator!=(const MarkRemoved& a, const MarkRemoved& b) {
    return !(a == b);
  }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_MARK_REMOVED_H_
