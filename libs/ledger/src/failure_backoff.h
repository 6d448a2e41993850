#ifndef LEDGER_FAILURE_BACKOFF_H_
#define LEDGER_FAILURE_BACKOFF_H_

#include "base/millis.h"

namespace godwit::ledger {

struct MeteredPolicy;

// Returns the pause after `failures` consecutive operations without a useful
// answer; at least one.
base::Millis FailureBackoff(const MeteredPolicy& policy, int failures);

}  // namespace godwit::ledger

#endif  // LEDGER_FAILURE_BACKOFF_H_
