#ifndef LEDGER_METERED_POLICY_H_
#define LEDGER_METERED_POLICY_H_

#include <cstddef>
#include <cstdint>

#include "base/millis.h"

namespace godwit::ledger {

// Settings of a MeteredBudgetManager. A divisor N stands for the fraction 1/N.
struct MeteredPolicy {
  // Number of ledger keys of the fleet. It is part of the stored layout: a
  // router with another value detects the difference there and spends nothing.
  // A change requires that budgets begin anew.
  int shard_count = 8;
  // Period of usage that a holding covers at the current burn rate, when it has
  // just been refilled: longer than the partitions from the KV that occur,
  // which may begin just before a refill. Not longer than that, since what is
  // held by a VM that never returns is lost.
  base::Millis outage_cover = base::Millis(11'000);
  // Half-lives of the two averages whose mean estimates the burn rate: the
  // short one follows a surge, the long one bridges a lull.
  base::Millis burn_half_life = base::Millis(3'000);
  base::Millis long_half_life = base::Millis(12'000);
  // Before any usage, all routers together hold this fraction of a budget.
  int64_t initial_divisor = 8;
  // Routers together set aside a part of what remains of a budget: `min_share`
  // and `share_slope` times what remains as a share of the limit, at most
  // `max_share`. A budget that runs out is set aside less, since a killed
  // router may lose all that it holds of it. The lender of a budget takes the
  // full part; a router that substitutes for it takes a fraction according to
  // its share of all usage.
  double share_slope = 1.4;
  double max_share = 0.8;
  double min_share = 0.15;
  // Time without a reservation or loan after which a router that is not the
  // lender of a budget returns what it holds.
  base::Millis substitute_timeout = base::Millis(2'000);
  // Number of consecutive large requests that a holding should cover in
  // addition to the burn rate, as long as they do not exceed the fraction
  // `large_divisor` of the limit.
  int64_t large_requests = 1;
  int64_t large_divisor = 40;
  // A holding is refilled once it is below this share of its target, in
  // percent, and without delay when it is below the second one.
  int64_t refill_percent = 75;
  int64_t urgent_percent = 50;
  // A holding above this share of its target, in percent, is reduced to the
  // target.
  int64_t surplus_percent = 130;
  // Minimum interval between writes that are not urgent, and between any two
  // writes.
  base::Millis deferred_write_interval = base::Millis(600);
  base::Millis min_write_interval = base::Millis(40);
  // A router keeps to its promise, which allows it the tokens in use, those of
  // this period at the burn rate in advance, and more as time passes: the burn
  // rate in percent, faster from SpendAllowance::kFasterAfter and again from
  // kFastestAfter on, or the target of its holding within the given period if
  // that is more. What is allowed and not used is lost with the router.
  base::Millis promise_cover = base::Millis(250);
  int64_t promise_rate_percent = 100;
  int64_t promise_faster_percent = 200;
  int64_t promise_fastest_percent = 300;
  base::Millis promise_opening = base::Millis(16'000);
  // While usage has just begun, this fraction of the limit or the largest
  // request is allowed in advance, if the target is as large.
  int64_t min_advance_divisor = 100;
  // A promise is written again once less than the first share of what it should
  // allow in advance remains, in percent; while more than the second share
  // does, at the first interval; and, while tokens are used, at the second one.
  int64_t promise_refill_percent = 30;
  int64_t promise_surplus_percent = 200;
  base::Millis promise_reduce_interval = base::Millis(600);
  base::Millis promise_refresh_interval = base::Millis(1'800);
  // A write of the promise without an answer is repeated after this time. A
  // slow KV answers earlier.
  base::Millis promise_timeout = base::Millis(500);
  // Differences between two clock readings of one VM below this value are
  // ignored.
  base::Millis clock_jitter = base::Millis(50);
  // Number of wall clocks that a promise states; fewer than half of them may
  // jump. A restarted router asks their routers at the given interval and waits
  // for all of them up to the first time, and for a sufficient number up to the
  // second one, before it relies on fleet time.
  size_t promise_clocks = 15;
  base::Millis clock_request_interval = base::Millis(50);
  base::Millis clock_answer_wait = base::Millis(200);
  base::Millis clock_quorum_wait = base::Millis(1'000);
  // Upper bound of the difference between fleet time as two routers know it,
  // from clocks that don't jump and messages that were delayed.
  base::Millis clock_skew = base::Millis(500);
  // Maximum time that a restarted router waits for the clocks of others before
  // it closes the grants of its earlier incarnations.
  base::Millis fleet_clock_wait = base::Millis(3'000);
  // Maximum age of a record that proves what remains of a budget.
  base::Millis max_record_age = base::Millis(250);
  // A record that was not read or written for this long is read, to find out
  // whether other routers need what is held here.
  base::Millis recall_poll_interval = base::Millis(6'000);
  // Maximum time that a reservation waits for the KV or for tokens that other
  // routers return.
  base::Millis max_wait = base::Millis(400);
  // Maximum time that a reservation waits for this router's promise, or that of
  // a lender that refused for now, to grow.
  base::Millis promise_wait = base::Millis(2'000);
  // A reservation that was not repeated for this long no longer waits: its
  // request ended.
  base::Millis need_timeout = base::Millis(200);
  // An operation that takes longer than this shows that the KV is unavailable;
  // a slow KV answers within 250 ms.
  base::Millis normal_latency = base::Millis(300);
  // Pause after an operation without a useful answer, doubled after each
  // further one up to the maximum, and the maximum pause after a lost race.
  base::Millis failure_backoff = base::Millis(150);
  base::Millis max_failure_backoff = base::Millis(600);
  base::Millis race_backoff = base::Millis(20);
  // Maximum number of routers that may lend from a budget: the first one as
  // long as it answers, otherwise the next ones.
  size_t max_lenders = 4;
  // Period of reservations that a loan covers: several times what it takes to
  // replace a stopped lender. What a failed borrower had not used is lost, and
  // all loans are when all routers lose power.
  base::Millis loan_cover = base::Millis(400);
  // A loan covers at most this fraction of the limit, in addition to what waits
  // for it.
  int64_t loan_divisor = 20;
  // At a router with few requests, a loan covers this number of requests of the
  // mean size, as long as such loans of all routers are at most the fraction
  // 1/small_loan_divisor of the limit.
  int64_t loan_requests = 2;
  int64_t small_loan_divisor = 100;
  // A loan is refilled once less than this share of its target remains, in
  // percent.
  int64_t loan_refill_percent = 50;
  // A message between routers takes milliseconds. A request without an answer
  // is resent after the first interval and abandoned after the second one.
  base::Millis loan_resend_interval = base::Millis(30);
  base::Millis loan_timeout = base::Millis(100);
  // Maximum time that a lender lets a request wait for the KV.
  base::Millis pending_timeout = base::Millis(300);
  // A budget of which nothing was free is not asked for again for this long.
  base::Millis nothing_free_backoff = base::Millis(500);
  // A router that did not answer receives no loan request for this long; one
  // that had nothing to lend receives none for the same budget for the second
  // interval.
  base::Millis unresponsive_backoff = base::Millis(1'000);
  base::Millis refused_backoff = base::Millis(300);
  // A PeerHello takes precedence over lists of peers for as long as these may
  // be older. A router that is not listed stays known for the second interval,
  // since it may be about to register again, e.g. after a partition from the
  // KV.
  base::Millis hello_validity = base::Millis(10'000);
  base::Millis missing_timeout = base::Millis(6'000);
  // Minimum interval between loan requests that no reservation waits for.
  base::Millis refill_interval = base::Millis(250);
  // Usage of a loan is reported at least this often, and what is returned,
  // which nobody else can use until then, at the second interval.
  base::Millis report_interval = base::Millis(1'000);
  base::Millis return_interval = base::Millis(200);
  // After the KV returned from an older copy, nothing is drawn for the first
  // time, so that all routers learn of it and write what they know, nor for the
  // second time while a known router has not done so: it is partitioned or has
  // ended. Routers without a grant wait for the third time before they write,
  // since those with grants usually know the same.
  base::Millis era_settle_time = base::Millis(2'000);
  base::Millis absent_peer_timeout = base::Millis(15'000);
  base::Millis merge_delay = base::Millis(500);
  // Grants that lenders reported are remembered for this long after the last
  // report: longer than the KV can fall back.
  base::Millis reported_grant_retention = base::Millis(60'000);
  // Retired grants are kept apart in a record for this long, which is longer,
  // too; then those of a process are folded into one.
  base::Millis retired_grant_retention = base::Millis(600'000);
  // An operation without an outcome is abandoned after this time.
  base::Millis operation_timeout = base::Millis(2'000);
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_POLICY_H_
