#ifndef MEMBERSHIP_MARK_LEAVING_H_
#define MEMBERSHIP_MARK_LEAVING_H_

#include "base/ids.h"

namespace godwit::membership {

// Edit: a life takes no new work. No effect unless it is active.
struct MarkLeaving {
  base::Incarnation incarnation;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_MARK_LEAVING_H_
