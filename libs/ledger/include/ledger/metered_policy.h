#ifndef LEDGER_METERED_POLICY_H_
#define LEDGER_METERED_POLICY_H_

#include <cstddef>
#include <cstdint>

#include "base/millis.h"

namespace godwit::ledger {

// Settings of a MeteredBudgetManager.
struct MeteredPolicy {
  // Ledger keys of the fleet. Part of what is stored: a router with another
  // value finds so in the stored layout and spends nothing. A change needs
  // budgets that begin anew.
  int shard_count = 8;
  // Length of a cut from the KV that a holding should outlast at the present
  // burn rate. What is held when all routers are killed at once is lost, so it
  // is no longer than the cuts that happen.
  base::Millis outage_cover = base::Millis(8'000);
  // Half-lives of the two averages whose mean estimates the burn rate: one
  // follows a surge, the other bridges a lull.
  base::Millis burn_half_life = base::Millis(3'000);
  base::Millis long_half_life = base::Millis(12'000);
  // Before anything is burnt, all routers together hold one part in this many
  // of a budget.
  int64_t initial_divisor = 8;
  // Routers together set aside a part of what is left of a budget: `slope`
  // times what is left of the limit beyond `scarce`, as shares of the limit and
  // between the two bounds. Little of a budget that runs out is set aside: what
  // a cut keeps back can still be used later, what a kill loses can't. The
  // lender of a budget takes it all; a router that stands in for it, the part
  // that is its own of what all have used.
  double share_slope = 0.9;
  double share_cutoff = 0.12;
  double max_share = 0.8;
  double min_share = 0.05;
  // Large requests in a row that a holding is to serve beside the burn rate, as
  // long as they are no more than one part in `large_part` of the limit.
  int64_t large_requests = 1;
  int64_t large_divisor = 40;
  // Once less than one part in `scarce_part` of a limit is left, a request
  // above the usual size that could take more than one part in `largest_part`
  // of the rest is refused: many small ones are served for it.
  int64_t scarce_divisor = 6;
  int64_t max_request_divisor = 12;
  // A holding is filled up once it is below this share of its target, in
  // percent, and at once when it is below the second.
  int64_t refill_percent = 70;
  int64_t urgent_percent = 50;
  // A holding above this share of its target is given back down to it.
  int64_t surplus_percent = 130;
  // Least time between writes that are not urgent, and between any two.
  base::Millis deferred_write_interval = base::Millis(600);
  base::Millis min_write_interval = base::Millis(40);
  // A holder that has not reached the KV for this long since its last promise
  // may spend its whole grant; until then it keeps to what it promised. A
  // killed process is started again, and reads the record, within less.
  base::Millis promise_duration = base::Millis(3'000);
  // What is promised ahead of use, as a span of the burn rate in percent of
  // `promise_time`: use is uneven.
  int64_t promise_percent = 150;
  // At least this part of the target of a holding is promised, and all of a
  // target that is no more than one in `small_part` of the limit.
  int64_t promise_divisor = 4;
  int64_t small_target_divisor = 40;
  // Difference of two clocks' readings that counts as none.
  base::Millis clock_jitter = base::Millis(50);
  // Age up to which a record read proves what is left of a budget.
  base::Millis max_record_age = base::Millis(250);
  // A record that was not read or written for this long is read, to see
  // whether others lack what is held here.
  base::Millis recall_poll_interval = base::Millis(6'000);
  // Longest that a reservation waits for the KV or for what others give back.
  base::Millis max_wait = base::Millis(400);
  // An operation that takes longer than this shows that the KV can't be asked
  // now; a slow KV answers within a quarter of a second.
  base::Millis normal_latency = base::Millis(300);
  // Pause after an operation that got no useful answer, and the longest one
  // after a lost race.
  base::Millis failure_backoff = base::Millis(150);
  base::Millis race_backoff = base::Millis(20);
  // Routers of a budget that may lend of it, the first of them as long as it
  // answers; the others take its place.
  size_t max_lenders = 4;
  // Use that a loan covers: time for a stopped lender to be replaced, several
  // times over. What a killed borrower had left is lost.
  base::Millis loan_cover = base::Millis(2'000);
  // A loan covers no more than one part in this many of the limit, beyond what
  // waits for it.
  int64_t loan_divisor = 20;
  // A loan is filled up once less than this of its target is left, in percent.
  int64_t loan_refill_percent = 50;
  // A message between routers takes milliseconds: one without an answer is sent
  // again, and then given up.
  base::Millis loan_resend_interval = base::Millis(30);
  base::Millis loan_timeout = base::Millis(100);
  // Longest that a lender lets an ask wait for the KV.
  base::Millis pending_timeout = base::Millis(300);
  // A router that did not answer is not asked for this long, and one that had
  // nothing to lend not for the same budget.
  base::Millis unresponsive_backoff = base::Millis(1'000);
  base::Millis refused_backoff = base::Millis(300);
  // A router that told of its present life is known better than from lists, as
  // long as these may be older; one that is not listed may be about to register
  // again, as after a cut from the KV.
  base::Millis hello_validity = base::Millis(10'000);
  base::Millis missing_timeout = base::Millis(6'000);
  // Least time between asks for a loan that nothing waits for.
  base::Millis refill_interval = base::Millis(250);
  // Use of a loan is reported at least this often.
  base::Millis report_interval = base::Millis(1'000);
  // An operation without an outcome is given up after this.
  base::Millis operation_timeout = base::Millis(2'000);
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_POLICY_H_
