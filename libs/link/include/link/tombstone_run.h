#ifndef LINK_TOMBSTONE_RUN_H_
#define LINK_TOMBSTONE_RUN_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Router to agent: never start this attempt. Has no effect on an attempt that
// has started. Answered by RunState.
struct TombstoneRun {
  // The attempt.
  base::AttemptId attempt;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
  }

  friend bool operator==(const TombstoneRun& a, const TombstoneRun& b) {
    return std::tie(a.attempt) == std::tie(b.attempt);
  }
  friend bool operator!=(const TombstoneRun& a, const TombstoneRun& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_TOMBSTONE_RUN_H_
