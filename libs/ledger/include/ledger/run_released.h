#ifndef LEDGER_RUN_RELEASED_H_
#define LEDGER_RUN_RELEASED_H_

#include "base/ids.h"

namespace godwit::ledger {

// Event: an attempt bills nothing, because it never started and never will, or
// because it is known to have failed or to have been lost without a complete
// answer.
struct RunReleased {
  base::AttemptId attempt;

  friend bool operator==(const RunReleased& a, const RunReleased& b) {
    return a.attempt == b.attempt;
  }
  friend bool operator!=(const RunReleased& a, const RunReleased& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RUN_RELEASED_H_
