#ifndef MEMBERSHIP_MARK_LEAVING_H_
#define MEMBERSHIP_MARK_LEAVING_H_

#include "base/ids.h"

namespace godwit::membership {

// Edit: an incarnation accepts no new work. No effect unless it is active.
struct MarkLeaving {
  base::Incarnation incarnation;

  friend bool operator==(const MarkLeaving& a, const MarkLeaving& b) {
    return a.incarnation == b.incarnation;
  }
  friend bool operator!=(const MarkLeaving& a, const MarkLeaving& b) {
    return !(a == b);
  }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_MARK_LEAVING_H_
