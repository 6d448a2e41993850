#ifndef LEDGER_RESERVE_REFUSED_H_
#define LEDGER_RESERVE_REFUSED_H_

#include <tuple>

#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Command: the attempt must not run.
struct ReserveRefused {
  base::AttemptId attempt;
  // kBudgetExhausted, kBudgetUnavailable, kNotFound, kLeaving,
  // kInvalidArgument or kCorrupt, with message and remedy.
  base::Error error;
  // Delay after which the caller may retry; zero if a retry is useless.
  base::Millis retry_after;

  friend bool operator==(const ReserveRefused& a, const ReserveRefused& b) {
    return std::tie(a.attempt, a.error, a.retry_after) ==
           std::tie(b.attempt, b.error, b.retry_after);
  }
  friend bool operator!=(const ReserveRefused& a, const ReserveRefused& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RESERVE_REFUSED_H_
