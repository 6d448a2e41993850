#include "ledger/metered_budget_manager.h"

#include <algorithm>
#include <utility>

#include "metered_state.h"

namespace godwit::ledger {
namespace {

// Each smaller reservation reduces the largest one by 1/kLargestDecayDivisor.
constexpr base::Tokens kLargestDecayDivisor = 50;
// After a refusal for which it is not known when tokens are expected.
constexpr base::Millis kDefaultRetryAfter(600);

}  // namespace

MeteredBudgetManager::MeteredBudgetManager(base::ProcessId process,
                                           base::Incarnation self,
                                           MeteredPolicy policy)
    : state_(std::make_unique<State>(std::move(process),
                                     std::move(self),
                                     policy)) {}

MeteredBudgetManager::~MeteredBudgetManager() = default;

void MeteredBudgetManager::SetLimits(const std::vector<BudgetLimit>& limits,
                                     platform::KvCondition configuration) {
  State& state = *state_;
  state.configuration_ = std::move(configuration);
  for (auto& [id, budget] : state.budgets_) {
    budget.dropped = true;
  }
  for (const BudgetLimit& limit : limits) {
    const auto [entry, is_new] =
        state.budgets_.try_emplace(limit.budget, limit, state.policy_);
    MeteredBudget& budget = entry->second;
    if (is_new) {
      state.shards_[budget.shard].budgets.push_back(&budget);
    }
    if (limit.limit < budget.limit.limit) {
      // The lender may not know the lower limit yet.
      budget.borrowed.Return(
          std::max<base::Tokens>(0, budget.borrowed.free() - budget.reserved));
    }
    if (limit.limit != budget.limit.limit) {
      // A reply about the earlier limit does not apply to this one.
      budget.nothing_free_until = base::Millis();
      budget.refused_amount = 0;
    }
    budget.limit = limit;
    budget.dropped = false;
  }
}

void MeteredBudgetManager::SetClockOffset(base::Millis offset) {
  state_->clock_offset_ = offset;
  state_->fleet_clock_.SetOwn(offset);
}

void MeteredBudgetManager::SetEra(base::Millis now, int64_t era) {
  state_->Begin(now);
  state_->SetEra(now, era);
}

int64_t MeteredBudgetManager::merged_era() const noexcept {
  return state_->merged_era_;
}

void MeteredBudgetManager::SetPeers(base::Millis now,
                                    const std::vector<Peer>& peers) {
  state_->Begin(now);
  state_->SetPeers(now, peers);
}

void MeteredBudgetManager::SetRouters(size_t count) {
  state_->routers_ = std::max<size_t>(1, count);
}

MeteredBudgetManager::ReserveResult MeteredBudgetManager::Reserve(
    base::Millis now,
    const base::BudgetId& budget,
    base::Tokens amount,
    base::Millis since,
    int64_t urgency) {
  state_->Begin(now);
  MeteredBudget* const local = state_->Find(budget);
  if (local == nullptr) {
    // The budget's limit is not known.
    return ReserveResult::kUnavailable;
  }
  return state_->Reserve(now, *local, amount, {urgency, since});
}

base::Millis MeteredBudgetManager::RetryAfter(
    const base::BudgetId& budget) const {
  const MeteredBudget* const local = state_->Find(budget);
  return local == nullptr ? kDefaultRetryAfter : local->retry_after;
}

MeteredBudgetManager::ReserveResult MeteredBudgetManager::State::Reserve(
    base::Millis now,
    MeteredBudget& budget,
    base::Tokens amount,
    const ReservationRank& rank) {
  if (budget.dropped) {
    return ReserveResult::kReserved;
  }
  const base::Tokens ahead = IsScarce(now, budget) ? AheadOf(budget, rank) : 0;
  if (Available(budget) >= amount + ahead) {
    budget.reserved += amount;
    budget.RecordReservation(now, amount);
    // What is left of a holding is not kept for requests that a lender could
    // serve.
    if (budget.ReservedOfGrant() > 0 && LenderOf(now, budget) == nullptr) {
      budget.last_drawn_at = now;
    }
    budget.need = 0;
    budget.loan_need = 0;
    budget.largest_reservation =
        std::max(amount, budget.largest_reservation -
                             budget.largest_reservation / kLargestDecayDivisor);
    budget.waiting.Remove(rank, amount);
    return ReserveResult::kReserved;
  }
  budget.needed_at = now;
  budget.waiting.Add(now, rank, amount);
  const ReserveResult result = Wait(now, budget, amount, rank);
  if (result != ReserveResult::kWait) {
    budget.need = 0;
    budget.loan_need = 0;
    budget.waiting.Remove(rank, amount);
  }
  return result;
}

bool MeteredBudgetManager::State::MayGrow(base::Millis now,
                                          const MeteredBudget& budget,
                                          base::Tokens amount) const {
  // Until the lender has been asked again and has answered.
  const bool has_refused = budget.lender_refused_at &&
                           now - *budget.lender_refused_at <
                               policy_.refused_backoff + policy_.max_wait;
  return has_refused || IsAllowedSoon(budget, amount);
}

MeteredBudgetManager::ReserveResult MeteredBudgetManager::State::Wait(
    base::Millis now,
    MeteredBudget& budget,
    base::Tokens amount,
    const ReservationRank& rank) {
  BudgetReport::Refusals& refusals = budget.refusals;
  if (now < budget.nothing_free_until && amount > budget.reported_left) {
    ++refusals.exhausted;
    return ReserveResult::kExhausted;
  }
  if (WasRefused(budget, rank, amount)) {
    ++refusals.nothing_free;
    return ReserveResult::kUnavailable;
  }
  const bool is_scarce = IsScarce(now, budget);
  const base::Millis waited = now - rank.since;
  const bool waited_enough =
      waited >=
      (MayGrow(now, budget, amount) ? policy_.promise_wait : policy_.max_wait);
  if (waited_enough) {
    budget.retry_after = kDefaultRetryAfter;
  }
  if (LenderOf(now, budget) != nullptr) {
    budget.need = 0;
    budget.loan_need = is_scarce ? budget.waiting.First()->amount
                                 : std::max(budget.loan_need, amount);
    refusals.timed_out += waited_enough ? 1 : 0;
    return waited_enough ? ReserveResult::kUnavailable : ReserveResult::kWait;
  }
  budget.loan_need = 0;
  const base::Tokens total = amount + (is_scarce ? AheadOf(budget, rank) : 0);
  const base::Tokens pool = Pool(budget);
  budget.need = is_scarce
                    ? std::clamp<base::Tokens>(budget.waiting.Total(), 1,
                                               std::max<base::Tokens>(1, pool))
                    : std::max(budget.need, amount);
  const Shard& shard = ShardOfBudget(budget);
  const bool is_fresh = IsRecordFresh(budget, std::min(now, rank.since));
  if (is_fresh && amount > MaxRemaining(budget)) {
    ++refusals.exhausted;
    return ReserveResult::kExhausted;
  }
  const bool is_lender = !peers_.empty() && IsLender(shard);
  if (is_lender && pool < total) {
    MarkUncovered(now, budget, total);
  }
  if (is_lender && is_fresh && !MayCome(now, budget, total, waited)) {
    ++refusals.nothing_free;
    budget.retry_after = RetryAfter(now, budget, total);
    return ReserveResult::kUnavailable;
  }
  // Tokens that are held but not promised become available soon.
  const bool may_grow = MayGrow(now, budget, amount) && !waited_enough;
  if ((IsKvUnavailable(now, shard) || !MayOpenSoon(now, shard)) &&
      Unallocated(budget) < amount && !may_grow) {
    ++refusals.kv_unavailable;
    budget.retry_after = policy_.refused_backoff;
    return ReserveResult::kUnavailable;
  }
  refusals.timed_out += waited_enough ? 1 : 0;
  return waited_enough ? ReserveResult::kUnavailable : ReserveResult::kWait;
}

void MeteredBudgetManager::Settle(base::Millis now,
                                  const base::BudgetId& budget,
                                  base::Tokens reserved,
                                  Usage used) {
  MeteredBudget* const local = state_->Find(budget);
  if (local == nullptr) {
    return;
  }
  const base::Tokens of_grant = local->ReservedOfGrant();
  local->reserved -= std::min(reserved, local->reserved);
  const Usage of_own = local->borrowed.Charge(used);
  local->Spend(now, of_own);
  local->returns.Add(
      now, std::max<base::Tokens>(
               0, of_grant - local->ReservedOfGrant() - of_own.tokens));
}

void MeteredBudgetManager::Drain() {
  state_->draining_ = true;
}

bool MeteredBudgetManager::drained() const {
  if (!state_->draining_) {
    return false;
  }
  for (const auto& [id, budget] : state_->budgets_) {
    const State::Shard& shard = state_->ShardOfBudget(budget);
    // Borrowed tokens stay with the grant, which a later incarnation closes.
    const bool is_lent = state_->loans_.Outstanding(id) > 0;
    const bool is_settled =
        state_->OwnGrant(shard.record(), id) == nullptr ||
        (is_lent && state_->Granted(budget) <= state_->Allocated(budget));
    if (budget.reserved > 0 || shard.view.busy_since() || !is_settled) {
      return false;
    }
  }
  return true;
}

std::vector<MeteredBudgetManager::Command> MeteredBudgetManager::Tick(
    base::Millis now) {
  state_->Begin(now);
  return state_->Process(now);
}

std::vector<MeteredBudgetManager::Command> MeteredBudgetManager::On(
    base::Millis now,
    const platform::KvReadDone& done) {
  state_->Begin(now);
  state_->OnDone(now, done);
  return state_->Process(now);
}

std::vector<MeteredBudgetManager::Command> MeteredBudgetManager::On(
    base::Millis now,
    const platform::KvWriteDone& done) {
  state_->Begin(now);
  state_->OnDone(now, done);
  return state_->Process(now);
}

std::vector<MeteredBudgetManager::Command> MeteredBudgetManager::On(
    base::Millis now,
    const base::Endpoint& from,
    const PeerMessage& message) {
  state_->Begin(now);
  state_->RecordClock(message);
  if (const auto* request = std::get_if<LoanRequest>(&message)) {
    state_->On(now, from, *request);
  } else if (const auto* reply = std::get_if<LoanReply>(&message)) {
    state_->On(now, *reply);
  } else if (const auto* hello = std::get_if<PeerHello>(&message)) {
    state_->On(now, *hello);
  } else if (const auto* clock = std::get_if<ClockRequest>(&message)) {
    state_->On(from, *clock);
  } else {
    state_->On(now, std::get<ClockReply>(message));
  }
  return state_->Process(now);
}

}  // namespace godwit::ledger
