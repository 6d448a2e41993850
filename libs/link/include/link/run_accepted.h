#ifndef LINK_RUN_ACCEPTED_H_
#define LINK_RUN_ACCEPTED_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Agent to router: the attempt is started or queued.
struct RunAccepted {
  // The attempt.
  base::AttemptId attempt;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
  }

  friend bool operator==(const RunAccepted& a, const RunAccepted& b) {
    return std::tie(a.attempt) == std::tie(b.attempt);
  }
  friend bool operator!=(const RunAccepted& a, const RunAccepted& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_RUN_ACCEPTED_H_
