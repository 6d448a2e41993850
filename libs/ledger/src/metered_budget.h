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
#include "ledger/metered_policy.h"
#include "ledger/peer.h"
#include "ledger/shard.h"

namespace godwit::ledger {

// What a MeteredBudgetManager keeps of one budget.
struct MeteredBudget {
  MeteredBudget(BudgetLimit stated, const MeteredPolicy& policy)
      : limit(std::move(stated)),
        shard(static_cast<size_t>(ShardOf(limit.budget, policy.shard_count))),
        burn(policy.burn_half_life),
        long_burn(policy.long_half_life),
        use(policy.burn_half_life) {}

  // An ask for a loan without its answer.
  struct OpenLoanRequest {
    Peer lender;
    base::Millis first_sent_at;
    base::Millis sent_at;
    // The lender heard it and draws from the ledger.
    bool is_pending = false;
  };

  BudgetLimit limit;
  // Index of its ledger key.
  const size_t shard;
  // Used under the own grant since it began, by this router or by borrowers
  // that reported it.
  base::Tokens spent = 0;
  // Part of `spent` that may not have been used.
  base::Tokens unproven = 0;
  // Set aside for requests in progress. What is borrowed is used before what
  // is held under the own grant.
  base::Tokens reserved = 0;
  // Largest amount that waits for tokens of the own grant, here and at
  // borrowers, and that waits for a loan; zero when none does.
  base::Tokens need = 0;
  base::Tokens borrower_need = 0;
  base::Tokens loan_need = 0;
  // Size of large reservations; falls slowly.
  base::Tokens largest_reservation = 0;
  // Usual size of a request, a moving mean.
  base::Tokens mean_request = 0;
  // Of what is used under the own grant, and of what this router uses.
  BurnRate burn;
  BurnRate long_burn;
  BurnRate use;
  // When something was first used; the averages know little before.
  std::optional<base::Millis> first_used_at;

  BorrowedLoans borrowed;
  std::optional<OpenLoanRequest> loan_request;
  // When a loan that nothing waits for may be asked for next.
  base::Millis next_refill_at;
  // Lenders that had nothing for this budget, and until when they are spared.
  std::map<base::ProcessId, base::Millis> refused_until;
  // A lender said that nothing is free, and how much can be left at most; until
  // when that is relied on.
  base::Millis nothing_free_until;
  base::Tokens reported_left = 0;

  // Counts what was used under the own grant.
  void Spend(base::Millis now, Usage usage);
  // What must be had of the own grant at once.
  base::Tokens Need() const;
  // Reserved beyond what is borrowed.
  base::Tokens ReservedOfGrant() const;
  // Tokens that `span` would take of the own grant, and of all this router can
  // use, at the present rate.
  base::Tokens BurnOver(base::Millis now,
                        base::Millis span,
                        const MeteredPolicy& policy) const;
  base::Tokens UseOver(base::Millis now,
                       base::Millis span,
                       const MeteredPolicy& policy) const;
  // The configuration no longer states a limit.
  bool dropped = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_BUDGET_H_
