#ifndef LEDGER_BUDGET_MANAGER_POLICY_H_
#define LEDGER_BUDGET_MANAGER_POLICY_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/shard.h"

namespace godwit::ledger {

// Settings of a BudgetManager.
struct BudgetManagerPolicy {
  // Number of ledger keys of the fleet.
  int shard_count = kShardCount;
  // Duration of a KV outage that grants should cover.
  base::Millis outage_cover = base::Millis(10 * 60 * 1000);
  // Half-life of the average that estimates the burn rate.
  base::Millis burn_half_life = base::Millis(30 * 1000);
  // Part of a budget's remaining tokens that all routers together set aside in
  // advance, in percent.
  int64_t share_percent = 75;
  // A budget with fewer remaining tokens is near its end, however small its
  // limit.
  base::Tokens near_end_tokens = 200000;
  // Interval between writes that contain only usage.
  base::Millis settle_period = base::Millis(2000);
  // Minimum interval between two writes of a shard.
  base::Millis min_write_interval = base::Millis(20);
  // Interval between reads of a shard whose budgets are near their end, where
  // another router may request tokens.
  base::Millis recall_poll_interval = base::Millis(200);
  // Interval between reads of a shard while a reservation waits for tokens that
  // other routers return.
  base::Millis wait_poll_interval = base::Millis(50);
  // Time without a useful answer after which the KV counts as unavailable, so
  // that reservations no longer wait for it.
  base::Millis outage_timeout = base::Millis(500);
  // Maximum age of a record that proves that a budget is exhausted.
  base::Millis max_record_age = base::Millis(250);
  // Maximum time that a reservation waits for budget.
  base::Millis max_wait = base::Millis(1000);
  // Time without use after which a grant is returned.
  base::Millis idle_timeout = base::Millis(20 * 60 * 1000);
  // Interval in which every shard is read for grants of lost holders.
  base::Millis scan_period = base::Millis(10 * 1000);
  // Interval between seal requests to an agent that has not answered.
  base::Millis seal_retry_interval = base::Millis(500);
  // Retry delay for a caller refused because the KV is unavailable.
  base::Millis retry_after = base::Millis(2000);

  friend bool operator==(const BudgetManagerPolicy& a,
                         const BudgetManagerPolicy& b) {
    return std::tie(a.shard_count, a.outage_cover, a.burn_half_life,
                    a.share_percent, a.near_end_tokens, a.settle_period,
                    a.min_write_interval, a.recall_poll_interval,
                    a.wait_poll_interval, a.outage_timeout, a.max_record_age,
                    a.max_wait, a.idle_timeout, a.scan_period,
                    a.seal_retry_interval, a.retry_after) ==
           std::tie(b.shard_count, b.outage_cover, b.burn_half_life,
                    b.share_percent, b.near_end_tokens, b.settle_period,
                    b.min_write_interval, b.recall_poll_interval,
                    b.wait_poll_interval, b.outage_timeout, b.max_record_age,
                    b.max_wait, b.idle_timeout, b.scan_period,
                    b.seal_retry_interval, b.retry_after);
  }
  friend bool operator!=(const BudgetManagerPolicy& a,
                         const BudgetManagerPolicy& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MANAGER_POLICY_H_
