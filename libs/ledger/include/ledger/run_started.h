#ifndef LEDGER_RUN_STARTED_H_
#define LEDGER_RUN_STARTED_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Event: an attempt is about to be sent to an agent; given before the message
// leaves. An attempt goes to one agent only.
struct RunStarted {
  // The attempt.
  base::AttemptId attempt;
  // The agent incarnation.
  base::Incarnation agent;

  friend bool operator==(const RunStarted& a, const RunStarted& b) {
    return std::tie(a.attempt, a.agent) == std::tie(b.attempt, b.agent);
  }
  friend bool operator!=(const RunStarted& a, const RunStarted& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_RUN_STARTED_H_
