#ifndef LEDGER_RUN_STARTED_H_
#define LEDGER_RUN_STARTED_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Event: an attempt is about to be sent to an agent. Must be given before the
// message is sent. An attempt is sent to one agent only.
struct RunStarted {
  base::AttemptId attempt;
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
