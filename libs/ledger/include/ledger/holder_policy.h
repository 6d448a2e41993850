#ifndef LEDGER_HOLDER_POLICY_H_
#define LEDGER_HOLDER_POLICY_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/shard.h"

namespace godwit::ledger {

// Settings of a BudgetHolder.
struct HolderPolicy {
  // Ledger keys of the fleet.
  int shard_count = kShardCount;
  // Length of a KV outage that grants should outlast.
  base::Millis outage = base::Millis(10 * 60 * 1000);
  // Half-life of the average that estimates the burn rate.
  base::Millis burn_half_life = base::Millis(30 * 1000);
  // Part of what is left of a budget that all routers together set aside ahead
  // of need, in percent.
  int64_t share_percent = 75;
  // A budget with less left is near its end, however small its limit.
  base::Tokens near_end = 200000;
  // Time between writes that carry only usage.
  base::Millis settle_period = base::Millis(2000);
  // Least time between two writes of a shard.
  base::Millis write_spacing = base::Millis(20);
  // Time between reads of a shard whose budgets are near their end, where
  // another router may want tokens back.
  base::Millis recall_poll = base::Millis(200);
  // Time between reads of a shard while a reservation waits for what others
  // give back.
  base::Millis wait_poll = base::Millis(50);
  // Time without a useful answer after which the KV counts as down, so that
  // reservations no longer wait for it.
  base::Millis outage_detection = base::Millis(500);
  // Age up to which a record read proves that a budget is exhausted.
  base::Millis fresh = base::Millis(250);
  // Longest that a reservation waits for budget.
  base::Millis max_wait = base::Millis(1000);
  // Time without use after which a grant is returned.
  base::Millis idle = base::Millis(20 * 60 * 1000);
  // Time in which every shard is read for grants of lost holders.
  base::Millis scan_period = base::Millis(10 * 1000);
  // Time between seal requests to an agent that has not answered.
  base::Millis seal_retry = base::Millis(500);
  // When a caller refused for want of the KV should come back.
  base::Millis retry_after = base::Millis(2000);

  friend bool operator==(const HolderPolicy& a, const HolderPolicy& b) {
    return std::tie(a.shard_count, a.outage, a.burn_half_life, a.share_percent,
                    a.near_end, a.settle_period, a.write_spacing, a.recall_poll,
                    a.wait_poll, a.outage_detection, a.fresh, a.max_wait,
                    a.idle, a.scan_period, a.seal_retry, a.retry_after) ==
           std::tie(b.shard_count, b.outage, b.burn_half_life, b.share_percent,
                    b.near_end, b.settle_period, b.write_spacing, b.recall_poll,
                    b.wait_poll, b.outage_detection, b.fresh, b.max_wait,
                    b.idle, b.scan_period, b.seal_retry, b.retry_after);
  }
  friend bool operator!=(const HolderPolicy& a, const HolderPolicy& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_HOLDER_POLICY_H_
