#ifndef LINK_CANCEL_RUN_H_
#define LINK_CANCEL_RUN_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Router to agent: stop the run, since its caller has disconnected.
struct CancelRun {
  // The run.
  base::AttemptId attempt;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
  }

  friend bool operator==(const CancelRun& a, const CancelRun& b) {
    return std::tie(a.attempt) == std::tie(b.attempt);
  }
  friend bool operator!=(const CancelRun& a, const CancelRun& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_CANCEL_RUN_H_
