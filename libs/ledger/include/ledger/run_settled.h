#ifndef LEDGER_RUN_SETTLED_H_
#define LEDGER_RUN_SETTLED_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Event: an attempt ended at its agent and was billed.
struct RunSettled {
  base::AttemptId attempt;
  base::Incarnation agent;
  // Tokens billed; at most the reservation.
  base::Tokens billed = 0;

  friend bool operator==(const RunSettled& a, const RunSettled& b) {
    return std::tie(a.attempt, a.agent, a.billed) ==
           std::tie(b.attempt, b.agent, b.billed);
  }
  friend bool operator!=(const RunSettled& a, const RunSettled& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RUN_SETTLED_H_
