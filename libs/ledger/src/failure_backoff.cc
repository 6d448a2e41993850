#include "failure_backoff.h"

#include <algorithm>

#include "ledger/metered_policy.h"

namespace godwit::ledger {

base::Millis FailureBackoff(const MeteredPolicy& policy, int failures) {
  base::Millis backoff = policy.failure_backoff;
  for (int i = 1; i < failures && backoff < policy.max_failure_backoff; ++i) {
    backoff = backoff * 2;
  }
  return std::min(backoff, policy.max_failure_backoff);
}

}  // namespace godwit::ledger
