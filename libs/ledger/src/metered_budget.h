#ifndef LEDGER_METERED_BUDGET_H_
#define LEDGER_METERED_BUDGET_H_

#include <cstddef>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "borrowed_loans.h"
#include "burn_rate.h"
#include "ledger/budget_limit.h"
#include "ledger/budget_report.h"
#include "ledger/metered_policy.h"
#include "ledger/shard.h"
#include "open_loan_request.h"
#include "reservation_queue.h"

namespace godwit::ledger {

// State that a MeteredBudgetManager keeps for one budget.
struct MeteredBudget {
  MeteredBudget(BudgetLimit stated, const MeteredPolicy& policy)
      : limit(std::move(stated)),
        shard(static_cast<size_t>(ShardOf(limit.budget, policy.shard_count))),
        burn(policy.burn_half_life),
        long_burn(policy.long_half_life),
        reservations(policy.burn_half_life),
        returns(kReturnsHalfLife) {}

  // Short, since what is returned follows the requests in progress.
  static constexpr base::Millis kReturnsHalfLife{1'000};

  BudgetLimit limit;
  // Index of the budget's ledger key.
  const size_t shard;
  // Tokens used under this router's grant since it began, by this router or by
  // borrowers that reported it.
  base::Tokens spent = 0;
  // Part of `spent` that may not have been used.
  base::Tokens unproven = 0;
  // Tokens reserved for requests in progress. Borrowed tokens are used before
  // those of the grant.
  base::Tokens reserved = 0;
  // Largest amount that a request waits for: from this router's grant, here and
  // at borrowers, and from a loan. Zero if none waits.
  base::Tokens need = 0;
  base::Tokens borrower_need = 0;
  base::Tokens loan_need = 0;
  // Last time at which a request waited; it repeats its reservation while it
  // does.
  base::Millis needed_at;
  // Size of large reservations; decays slowly.
  base::Tokens largest_reservation = 0;
  // Moving average of the request size.
  base::Tokens mean_request = 0;
  // Rates of usage under this router's grant (short and long average), and of
  // all reservations at this router.
  BurnRate burn;
  BurnRate long_burn;
  BurnRate reservations;
  // Rate at which reservations and loans of this router's grant are returned
  // unused.
  BurnRate returns;
  // Last time at which tokens of this router's grant were lent, or reserved for
  // want of a lender.
  base::Millis last_drawn_at;
  // Times of the first usage and of the first reservation; the averages are
  // biased shortly after them.
  std::optional<base::Millis> first_used_at;
  std::optional<base::Millis> first_reserved_at;

  BorrowedLoans borrowed;
  std::optional<OpenLoanRequest> loan_request;
  // Earliest time of the next loan request that no reservation waits for.
  base::Millis next_refill_at;
  // Lenders that refused a loan of this budget, and the time until which they
  // receive no further request for it.
  std::map<base::ProcessId, base::Millis> refused_until;
  // When a lender last answered that it can't lend for now.
  std::optional<base::Millis> lender_refused_at;
  // Requests that wait here.
  ReservationQueue waiting;
  // As the router that grants or lends: whether the budget is scarce, since
  // when, and when that was announced last.
  bool is_scarce = false;
  base::Millis scarce_since;
  base::Millis announced_at;
  // True once the earlier incarnation's grant is known to be closed, or that
  // there is none. It may no longer be apart in the record.
  bool is_earlier_settled = false;
  // What other lenders were last told to be set aside for this router.
  base::Tokens announced_bound = 0;
  // Last amount that what is free did not cover.
  base::Tokens uncovered = 0;
  base::Millis uncovered_at;
  // As a borrower: until when the budget counts as scarce.
  base::Millis scarce_until;
  // A lender refused the first of the waiting requests: when, how much it
  // needed, and its rank.
  base::Millis refused_at;
  base::Tokens refused_amount = 0;
  ReservationRank refused_rank;
  BudgetReport::Refusals refusals;
  // When tokens are expected, as of the last refusal.
  base::Millis retry_after;
  // A lender reported that nothing is free, and the maximum that can remain;
  // until when the report is relied on.
  base::Millis nothing_free_until;
  base::Tokens reported_left = 0;

  // Counts usage under this router's grant.
  void Spend(base::Millis now, Usage usage);
  // Returns the amount that this router's grant must provide at once.
  base::Tokens Need() const;
  // Returns the tokens reserved beyond the borrowed ones.
  base::Tokens ReservedOfGrant() const;
  // Counts a reservation, from whichever tokens.
  void RecordReservation(base::Millis now, base::Tokens amount);
  // Returns what `span` takes at the current rates: the usage under this
  // router's grant, and all that requests at this router reserve.
  base::Tokens BurnOver(base::Millis now,
                        base::Millis span,
                        const MeteredPolicy& policy) const;
  base::Tokens ReservedOver(base::Millis now,
                            base::Millis span,
                            const MeteredPolicy& policy) const;
  // True if the configuration no longer states a limit.
  bool dropped = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_BUDGET_H_
