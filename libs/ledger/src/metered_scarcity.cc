// Scarce budgets. Near its end, what remains of a budget is divided among the
// lender, its borrowers and their reservations, and no piece covers a request.
// The lender then announces that the budget is scarce. Borrowers return at once
// what no request needs and borrow exactly what one needs, so that the lender
// alone decides who is served.
#include <algorithm>

#include "metered_state.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

// A budget is scarce while what is free is below the usage in this period. In
// it, the loans of idle borrowers are returned.
constexpr base::Millis kScarceCover(4'000);
// A scarce budget recovers when more than this multiple of that is free, so
// that it does not alternate between the two modes.
constexpr Tokens kRecoveryFactor = 2;
// A request that could not be covered makes a budget scarce for this long.
constexpr base::Millis kUncoveredPeriod(1'000);
// Borrowers that still hold tokens are told again at this interval, since
// datagrams may be lost. A borrower relies on the last message for longer.
constexpr base::Millis kAnnounceInterval(500);
constexpr base::Millis kScarceValidity(1'500);
// Time in which borrowers return what they hold after the first announcement.
constexpr base::Millis kReturnTime(100);
// Time for which a request waits for tokens that others are expected to return.
// Its caller can retry elsewhere in the time that a longer wait would take.
constexpr base::Millis kMaxReturnWait(100);
// Maximum age of the record that shows what is free of a scarce budget. Others
// return grants rarely, and each new record is a read of the KV.
constexpr base::Millis kScarceRecordAge(500);
// Bounds of the time after which a refused request may be tried again, and the
// time if the tokens that may be returned are in use for an unknown time.
constexpr base::Millis kMinRetryAfter(100);
constexpr base::Millis kMaxRetryAfter(5'000);
constexpr base::Millis kUnknownRetryAfter(1'000);
constexpr double kMillisPerSecond = 1'000;

}  // namespace

bool MeteredBudgetManager::State::IsScarce(base::Millis now,
                                           const MeteredBudget& budget) const {
  return budget.is_scarce || now < budget.scarce_until;
}

Tokens MeteredBudgetManager::State::Pool(const MeteredBudget& budget) const {
  return Unallocated(budget) + LedgerFree(budget);
}

Tokens MeteredBudgetManager::State::WantedLoan(
    base::Millis now,
    const MeteredBudget& budget) const {
  return IsScarce(now, budget) ? 0 : LoanTarget(now, budget);
}

Tokens MeteredBudgetManager::State::AheadOf(const MeteredBudget& budget,
                                            const ReservationRank& rank) const {
  return budget.waiting.AmountBefore(rank) +
         loans_.WaitingBefore(budget.limit.budget, rank);
}

bool MeteredBudgetManager::State::MayCome(base::Millis now,
                                          const MeteredBudget& budget,
                                          Tokens amount,
                                          base::Millis waited) const {
  const Tokens pool = Pool(budget);
  if (pool >= amount) {
    return true;
  }
  if (waited >= kMaxReturnWait) {
    return false;
  }
  const Tokens in_use =
      loans_.Outstanding(budget.limit.budget) + budget.ReservedOfGrant();
  // How much is returned is not known before the borrowers had time to do so.
  const bool is_known =
      budget.is_scarce && now - budget.scarce_since >= kReturnTime;
  const Tokens expected =
      is_known
          ? std::min(in_use, budget.returns.Over(now, kMaxReturnWait - waited))
          : in_use;
  return pool + expected >= amount;
}

base::Millis MeteredBudgetManager::State::RetryAfter(
    base::Millis now,
    const MeteredBudget& budget,
    Tokens amount) const {
  const Tokens missing = std::max<Tokens>(0, amount - Pool(budget));
  const Tokens per_second = budget.returns.Over(now, base::Seconds(1));
  const Tokens in_use =
      loans_.Outstanding(budget.limit.budget) + budget.ReservedOfGrant();
  if (in_use == 0 && missing > 0) {
    return kMaxRetryAfter;
  }
  if (per_second == 0) {
    return kUnknownRetryAfter;
  }
  const double wait = static_cast<double>(missing) * kMillisPerSecond /
                      static_cast<double>(per_second);
  const auto most = static_cast<double>(kMaxRetryAfter.count());
  return std::max(kMinRetryAfter,
                  base::Millis(static_cast<int64_t>(std::min(wait, most))));
}

Tokens MeteredBudgetManager::State::BorrowerNeed(
    const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  if (!budget.is_scarce) {
    return loans_.MaxWaiting(id);
  }
  // One write provides for all that wait.
  const Tokens waiting = loans_.TotalWaiting(id);
  return waiting == 0 ? 0
                      : std::clamp<Tokens>(waiting + budget.waiting.Total(), 1,
                                           std::max<Tokens>(1, Pool(budget)));
}

bool MeteredBudgetManager::State::IsRecordFresh(const MeteredBudget& budget,
                                                base::Millis since) const {
  const Shard& shard = ShardOfBudget(budget);
  const base::Millis max_age =
      budget.is_scarce ? kScarceRecordAge : policy_.max_record_age;
  return !shard.earlier && shard.view.known() &&
         shard.view.confirmed_at() + max_age >= since;
}

void MeteredBudgetManager::State::MarkUncovered(base::Millis now,
                                                MeteredBudget& budget,
                                                Tokens amount) {
  budget.uncovered = amount;
  budget.uncovered_at = now;
}

void MeteredBudgetManager::State::UpdateScarcity(base::Millis now,
                                                 MeteredBudget& budget) {
  budget.waiting.RemoveOlder(now - policy_.need_timeout);
  const Shard& shard = ShardOfBudget(budget);
  const bool is_decider = !peers_.empty() && !draining_ && !budget.dropped &&
                          shard.view.known() && !shard.earlier &&
                          (IsLender(shard) || Granted(budget) > 0);
  if (!is_decider) {
    budget.is_scarce = false;
    return;
  }
  const Tokens uncovered =
      budget.uncovered > 0 && now - budget.uncovered_at < kUncoveredPeriod
          ? budget.uncovered
          : 0;
  const Tokens least =
      std::max(budget.BurnOver(now, kScarceCover, policy_), uncovered);
  const Tokens bound = budget.is_scarce ? least * kRecoveryFactor : least;
  const bool is_scarce = Pool(budget) < bound;
  if (is_scarce && !budget.is_scarce) {
    budget.scarce_since = now;
    budget.announced_at = now - kAnnounceInterval;
  }
  budget.is_scarce = is_scarce;
  if (is_scarce && now - budget.announced_at >= kAnnounceInterval) {
    budget.announced_at = now;
    AnnounceScarcity(budget);
  }
}

void MeteredBudgetManager::State::AnnounceScarcity(
    const MeteredBudget& budget) {
  for (const base::Incarnation& borrower :
       loans_.BorrowersOf(budget.limit.budget)) {
    if (const Peer* const peer = PeerOf(borrower)) {
      Reply(peer->address, budget, borrower, 0, LoanReply::State::kLent,
            base::Millis());
    }
  }
}

void MeteredBudgetManager::State::RecordScarcity(base::Millis now,
                                                 MeteredBudget& budget,
                                                 const LoanReply& reply) {
  budget.scarce_until = reply.is_scarce ? now + kScarceValidity : now;
}

void MeteredBudgetManager::State::RecordRefusal(
    base::Millis now,
    MeteredBudget& budget,
    const OpenLoanRequest::Send& send,
    const LoanReply& reply) {
  budget.nothing_free_until = now + policy_.nothing_free_backoff;
  budget.reported_left = reply.left;
  budget.refused_at = now;
  budget.refused_amount = send.amount;
  budget.refused_rank = send.rank;
  budget.retry_after =
      reply.retry_after == base::Millis()
          ? kUnknownRetryAfter
          : std::clamp(reply.retry_after, kMinRetryAfter, kMaxRetryAfter);
}

bool MeteredBudgetManager::State::WasRefused(const MeteredBudget& budget,
                                             const ReservationRank& rank,
                                             Tokens amount) const {
  return budget.refused_amount > 0 && rank.since <= budget.refused_at &&
         !(rank < budget.refused_rank) && amount >= budget.refused_amount;
}

}  // namespace godwit::ledger
