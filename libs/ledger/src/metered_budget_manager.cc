#include "ledger/metered_budget_manager.h"

#include <algorithm>
#include <utility>

#include "metered_state.h"

namespace godwit::ledger {
namespace {

// A request changes the mean request size by 1/kMeanRequestDivisor of the
// difference.
constexpr base::Tokens kMeanRequestDivisor = 16;
// Each smaller reservation reduces the largest one by 1/kLargestDecayDivisor.
constexpr base::Tokens kLargestDecayDivisor = 50;

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
      budget.nothing_lent_until = base::Millis();
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
    base::Millis since) {
  state_->Begin(now);
  MeteredBudget* const local = state_->Find(budget);
  if (local == nullptr) {
    // The budget's limit is not known.
    return ReserveResult::kUnavailable;
  }
  return state_->Reserve(now, *local, amount, since);
}

MeteredBudgetManager::ReserveResult MeteredBudgetManager::State::Reserve(
    base::Millis now,
    MeteredBudget& budget,
    base::Tokens amount,
    base::Millis since) {
  if (budget.dropped) {
    return ReserveResult::kReserved;
  }
  budget.mean_request =
      budget.mean_request == 0
          ? amount
          : budget.mean_request +
                (amount - budget.mean_request) / kMeanRequestDivisor;
  if (IsTooLargeForRemaining(budget, amount)) {
    return ReserveResult::kUnavailable;
  }
  if (Available(budget) >= amount) {
    budget.reserved += amount;
    budget.RecordReservation(now, amount);
    if (budget.ReservedOfGrant() > 0) {
      budget.last_drawn_at = now;
    }
    budget.need = 0;
    budget.loan_need = 0;
    budget.largest_reservation =
        std::max(amount, budget.largest_reservation -
                             budget.largest_reservation / kLargestDecayDivisor);
    return ReserveResult::kReserved;
  }
  if (now < budget.nothing_free_until) {
    budget.need = 0;
    budget.loan_need = 0;
    return amount > budget.reported_left ? ReserveResult::kExhausted
                                         : ReserveResult::kUnavailable;
  }
  const bool waited_enough = now - since >= policy_.max_wait;
  budget.needed_at = now;
  if (LenderOf(now, budget) != nullptr) {
    budget.need = 0;
    budget.loan_need = waited_enough ? 0 : std::max(budget.loan_need, amount);
    return waited_enough ? ReserveResult::kUnavailable : ReserveResult::kWait;
  }
  budget.loan_need = 0;
  budget.need = std::max(budget.need, amount);
  const Shard& shard = ShardOfBudget(budget);
  const bool is_fresh = !shard.earlier && shard.view.known() &&
                        shard.view.confirmed_at() + policy_.max_record_age >=
                            std::min(now, since);
  if (is_fresh && amount > MaxRemaining(budget)) {
    budget.need = 0;
    return ReserveResult::kExhausted;
  }
  // Tokens that are held but not promised become available soon.
  const bool is_unavailable =
      (IsKvUnavailable(now, shard) || !MayOpenSoon(now, shard)) &&
      Unallocated(budget) < amount;
  if (waited_enough || is_unavailable) {
    budget.need = 0;
    return ReserveResult::kUnavailable;
  }
  return ReserveResult::kWait;
}

void MeteredBudgetManager::Settle(base::Millis now,
                                  const base::BudgetId& budget,
                                  base::Tokens reserved,
                                  Usage used) {
  MeteredBudget* const local = state_->Find(budget);
  if (local == nullptr) {
    return;
  }
  local->reserved -= std::min(reserved, local->reserved);
  local->Spend(now, local->borrowed.Charge(used));
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

std::string MeteredBudgetManager::Describe(base::Millis now,
                                           const base::BudgetId& budget) const {
  const MeteredBudget* const local = state_->Find(budget);
  if (local == nullptr) {
    return "no limit";
  }
  if (state_->layout_.known() && !state_->KnowsLayout()) {
    return "the ledger is stored under " +
           std::to_string(state_->layout_.record().keys) + " keys";
  }
  const State::Shard& shard = state_->ShardOfBudget(*local);
  const auto stored = shard.record().budgets.find(budget);
  const base::Tokens free =
      stored == shard.record().budgets.end() ? 0 : stored->second.free();
  return "limit " + std::to_string(local->limit.limit) + ", granted " +
         std::to_string(state_->Granted(*local)) + ", promised " +
         std::to_string(state_->Promised(*local)) + ", spent " +
         std::to_string(local->spent) + ", reserved " +
         std::to_string(local->reserved) + ", lent " +
         std::to_string(state_->loans_.Outstanding(budget)) + ", borrowed " +
         std::to_string(local->borrowed.free()) + ", target " +
         std::to_string(state_->Target(now, *local)) + ", free " +
         std::to_string(free) + ", record age " +
         std::to_string((now - shard.view.confirmed_at()).count()) + " ms";
}

}  // namespace godwit::ledger
