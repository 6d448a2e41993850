#ifndef LEDGER_RUN_RELEASED_H_
#define LEDGER_RUN_RELEASED_H_

#include "base/ids.h"

namespace godwit::ledger {

// Event: an attempt bills nothing: it never started and never will, or it is
// known that it failed or was lost without a whole answer.
struct RunReleased {
  // The attempt.
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
