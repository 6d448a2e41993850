#ifndef LEDGER_TESTS_RESERVE_OUTCOME_H_
#define LEDGER_TESTS_RESERVE_OUTCOME_H_

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/metered_budget_manager.h"
#include "timed_request.h"

namespace godwit::ledger {

// How a request of a simulation was answered.
struct ReserveOutcome {
  TimedRequest request;
  MeteredBudgetManager::ReserveResult result;
  base::Millis waited;
  // Use of all requests before, those in progress counted with their largest
  // possible use.
  base::Tokens used_before = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_RESERVE_OUTCOME_H_
