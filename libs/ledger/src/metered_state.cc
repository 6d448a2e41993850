#include "metered_state.h"

#include <algorithm>
#include <utility>

#include "ledger/shard.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

constexpr int64_t kPercent = 100;
// In addition to its usage, each router is assumed to have used an equal part
// of 1/kPriorDivisor of a limit.
constexpr double kPriorDivisor = 20;
// A target below 1/kMinTargetDivisor of the limit counts as zero, so that the
// full holding is returned.
constexpr Tokens kMinTargetDivisor = 500;

// Does not collide with the shards' keys, which are numbered.
constexpr char kLayoutKey[] = "ledger/layout";

Tokens Committed(const Budget& budget) {
  return budget.limit - budget.free();
}

}  // namespace

MeteredBudgetManager::State::State(base::ProcessId process,
                                   base::Incarnation self,
                                   MeteredPolicy policy)
    : process_(std::move(process)),
      self_(std::move(self)),
      policy_(policy),
      promises_(process_, self_, policy_),
      layout_(kLayoutKey),
      era_marker_(policy_),
      fleet_clock_(process_) {
  for (int i = 0; i < policy_.shard_count; ++i) {
    shards_.emplace_back(ShardKey(i));
  }
}

const Budget* MeteredBudgetManager::State::BudgetIn(const LedgerRecord& record,
                                                    const base::BudgetId& id) {
  const auto found = record.budgets.find(id);
  return found == record.budgets.end() ? nullptr : &found->second;
}

const MeteredBudgetManager::State::Shard&
MeteredBudgetManager::State::ShardOfBudget(const MeteredBudget& budget) const {
  return shards_[budget.shard];
}

MeteredBudget* MeteredBudgetManager::State::Find(const base::BudgetId& budget) {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? nullptr : &found->second;
}

const MeteredBudget* MeteredBudgetManager::State::Find(
    const base::BudgetId& budget) const {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? nullptr : &found->second;
}

base::GrantId MeteredBudgetManager::State::GrantOf(
    const base::BudgetId& budget) const {
  return GrantOf(self_, budget);
}

base::GrantId MeteredBudgetManager::State::GrantOf(
    const base::Incarnation& holder,
    const base::BudgetId& budget) {
  return base::GrantId(holder.value() + "/" + budget.value());
}

const Grant* MeteredBudgetManager::State::OwnGrant(
    const LedgerRecord& record,
    const base::BudgetId& budget) const {
  const Budget* const stored = BudgetIn(record, budget);
  if (stored == nullptr) {
    return nullptr;
  }
  const auto found = stored->grants.find(GrantOf(budget));
  const bool is_open = found != stored->grants.end() &&
                       found->second.state == GrantState::kActive;
  return is_open ? &found->second : nullptr;
}

Tokens MeteredBudgetManager::State::Granted(const MeteredBudget& budget) const {
  const Shard& shard = ShardOfBudget(budget);
  if (shard.earlier) {
    const auto found = shard.earlier->granted.find(budget.limit.budget);
    return found == shard.earlier->granted.end() ? 0 : found->second;
  }
  const View& view = shard.view;
  if (!view.known()) {
    return 0;
  }
  std::optional<Tokens> least;
  view.HoldsForAllVersions([&](const LedgerRecord& record) {
    const Grant* const grant = OwnGrant(record, budget.limit.budget);
    const Tokens amount = grant == nullptr ? 0 : grant->amount;
    least = std::min(least.value_or(amount), amount);
    return true;
  });
  return *least;
}

GrantBound MeteredBudgetManager::State::BoundOf(
    const MeteredBudget& budget) const {
  const Shard& shard = ShardOfBudget(budget);
  GrantBound bound = {Granted(budget), last_grant_revision_};
  const auto add = [&](const LedgerRecord& record) {
    if (const Grant* const own = OwnGrant(record, budget.limit.budget)) {
      bound.amount =
          shard.earlier ? bound.amount : std::max(bound.amount, own->amount);
      bound.sequence = std::max(bound.sequence, own->sequence);
    }
    return true;
  };
  if (shard.earlier) {
    add(shard.earlier->record);
  } else {
    shard.view.HoldsForAllVersions(add);
  }
  return bound;
}

Tokens MeteredBudgetManager::State::Promised(
    const MeteredBudget& budget) const {
  return promises_.Promised(now_, budget.limit.budget);
}

GrantUse MeteredBudgetManager::State::UseOf(const MeteredBudget& budget) const {
  return {budget.spent, budget.ReservedOfGrant(),
          loans_.Outstanding(budget.limit.budget)};
}

Tokens MeteredBudgetManager::State::Allocated(
    const MeteredBudget& budget) const {
  return UseOf(budget).Sum();
}

Tokens MeteredBudgetManager::State::Unallocated(
    const MeteredBudget& budget) const {
  if (IsOverCommitted(budget)) {
    return 0;
  }
  return std::max<Tokens>(0, Granted(budget) - Allocated(budget));
}

Tokens MeteredBudgetManager::State::OwnAvailable(
    const MeteredBudget& budget) const {
  const Tokens unallocated = Unallocated(budget);
  return std::clamp<Tokens>(Promised(budget) - Allocated(budget), 0,
                            unallocated);
}

bool MeteredBudgetManager::State::IsAllowedSoon(const MeteredBudget& budget,
                                                Tokens amount) const {
  return Unallocated(budget) >= amount && OwnAvailable(budget) < amount;
}

Tokens MeteredBudgetManager::State::Available(
    const MeteredBudget& budget) const {
  return OwnAvailable(budget) +
         std::max<Tokens>(0, budget.borrowed.free() - budget.reserved);
}

Tokens MeteredBudgetManager::State::LedgerFree(
    const MeteredBudget& budget) const {
  const Budget* const stored =
      BudgetIn(ShardOfBudget(budget).record(), budget.limit.budget);
  const Tokens committed = stored == nullptr ? 0 : Committed(*stored);
  return std::max<Tokens>(0, budget.limit.limit - committed);
}

Tokens MeteredBudgetManager::State::Headroom(
    base::Millis now,
    const MeteredBudget& budget) const {
  if (draining_) {
    return budget.Need();
  }
  const Tokens predicted =
      budget.BurnOver(now, policy_.promise_cover, policy_) *
      policy_.promise_rate_percent / kPercent;
  // Usage that has just begun is not predicted yet.
  const bool is_predicted =
      budget.first_used_at &&
      now - *budget.first_used_at >= policy_.burn_half_life;
  const Tokens opening =
      is_predicted
          ? 0
          : std::min(
                Target(now, budget),
                std::max(budget.limit.limit / policy_.min_advance_divisor,
                         std::min(budget.largest_reservation,
                                  budget.limit.limit / policy_.large_divisor)));
  return budget.Need() + std::max({predicted, budget.mean_request, opening});
}

SpendAllowance MeteredBudgetManager::State::NextAllowance(
    base::Millis now,
    const MeteredBudget& budget) const {
  const Tokens burn = budget.BurnOver(now, base::Seconds(1), policy_);
  const Tokens opening = Target(now, budget) * base::Seconds(1).count() /
                         policy_.promise_opening.count();
  const auto at_rate = [&](int64_t percent) {
    return draining_ ? 0 : std::max(burn * percent / kPercent, opening);
  };
  return {std::min(Granted(budget), Allocated(budget) + Headroom(now, budget)),
          at_rate(policy_.promise_rate_percent),
          at_rate(policy_.promise_faster_percent),
          at_rate(policy_.promise_fastest_percent)};
}

bool MeteredBudgetManager::State::IsOverCommitted(
    const MeteredBudget& budget) const {
  const Budget* const stored =
      BudgetIn(ShardOfBudget(budget).record(), budget.limit.budget);
  return stored != nullptr && Committed(*stored) > budget.limit.limit;
}

Tokens MeteredBudgetManager::State::MaxRemaining(
    const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const Budget* const stored = BudgetIn(ShardOfBudget(budget).record(), id);
  if (stored == nullptr) {
    return budget.limit.limit - (budget.spent - budget.unproven);
  }
  Tokens used = stored->total_billed();
  if (const Grant* const own = OwnGrant(ShardOfBudget(budget).record(), id)) {
    used += std::max<Tokens>(0, budget.spent - budget.unproven - own->billed());
  }
  return budget.limit.limit - used;
}

Tokens MeteredBudgetManager::State::Target(base::Millis now,
                                           const MeteredBudget& budget) const {
  if (draining_ || budget.dropped || IsOverCommitted(budget)) {
    return 0;
  }
  const bool is_lender = IsLender(ShardOfBudget(budget));
  const Tokens burn = budget.BurnOver(now, policy_.outage_cover, policy_);
  // The router that substituted for a lender gives back what it holds once the
  // lender is back, instead of competing with it for the ledger.
  const bool is_substituting =
      burn > 0 && now - budget.last_drawn_at < policy_.substitute_timeout;
  if (!is_lender && !is_substituting) {
    return budget.Need();
  }
  const auto holders = static_cast<Tokens>(peers_.empty() ? routers_ : 1);
  const Tokens first =
      is_lender ? budget.limit.limit / (policy_.initial_divisor * holders) : 0;
  const Tokens large =
      std::min(policy_.large_requests * budget.largest_reservation,
               budget.limit.limit / (policy_.large_divisor * holders));
  const Tokens target = std::min(std::max(first, burn + large), Share(budget));
  // A tiny holding serves no request here and is missing elsewhere.
  const bool is_too_small = target * kMinTargetDivisor < budget.limit.limit;
  return std::max(budget.Need(), is_too_small ? 0 : target);
}

// Near the end of a budget, each router keeps to its share of what remains.
Tokens MeteredBudgetManager::State::Share(const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const Budget* const stored = BudgetIn(ShardOfBudget(budget).record(), id);
  const auto routers = static_cast<double>(routers_);
  if (stored == nullptr) {
    return budget.limit.limit / static_cast<Tokens>(routers_);
  }
  const Tokens free = LedgerFree(budget);
  const Grant* const own = OwnGrant(ShardOfBudget(budget).record(), id);
  const Tokens recorded = own == nullptr ? 0 : own->billed();
  const auto spent = static_cast<double>(budget.spent);
  const double all =
      static_cast<double>(stored->total_billed() - recorded) + spent;
  // While little is used, usage does not predict who will use the remaining
  // tokens.
  const auto prior = static_cast<double>(budget.limit.limit) / kPriorDivisor;
  const bool is_sole = !peers_.empty() && IsLender(ShardOfBudget(budget));
  const double part = is_sole ? 1 : (spent + prior / routers) / (all + prior);
  const double left =
      1 - all / static_cast<double>(std::max<Tokens>(1, budget.limit.limit));
  const double combined_share =
      std::clamp(policy_.min_share + left * policy_.share_slope,
                 policy_.min_share, policy_.max_share);
  return static_cast<Tokens>(static_cast<double>(free + Unallocated(budget)) *
                             part * combined_share);
}

bool MeteredBudgetManager::State::IsKvUnavailable(base::Millis now,
                                                  const Shard& shard) const {
  return IsKvUnanswered(now, shard, policy_.normal_latency);
}

bool MeteredBudgetManager::State::IsKvUnanswered(base::Millis now,
                                                 const Shard& shard,
                                                 base::Millis latency) const {
  const auto busy = shard.view.busy_since();
  return !shard.is_kv_answering || (busy && now - *busy > latency) ||
         promises_.IsUnanswered(now, latency);
}

MeteredBudgetManager::State::Urgency MeteredBudgetManager::State::UrgencyOf(
    base::Millis now,
    const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const LedgerRecord& record = ShardOfBudget(budget).record();
  const bool has_grant = OwnGrant(record, id) != nullptr;
  const bool has_free = has_grant && Granted(budget) > Allocated(budget);
  if (draining_) {
    const bool may_close =
        budget.reserved == 0 && (has_free || loans_.Outstanding(id) == 0);
    return has_grant && may_close ? Urgency::kNow : Urgency::kNone;
  }
  if (budget.dropped) {
    return has_free ? Urgency::kDeferred : Urgency::kNone;
  }
  const Budget* const stored = BudgetIn(record, id);
  if (HasEarlierGrant(id, stored) && EarlierLifetime(now).is_decided) {
    return Urgency::kNow;
  }
  const Tokens limit = budget.limit.limit;
  const bool takes_part =
      has_grant || budget.Need() > 0 || IsLender(ShardOfBudget(budget));
  if (stored == nullptr ||
      stored->limit != std::max(limit, Committed(*stored))) {
    return takes_part ? Urgency::kNow : Urgency::kNone;
  }
  const Tokens unallocated = Unallocated(budget);
  if (IsOverCommitted(budget)) {
    return has_free ? Urgency::kNow : Urgency::kNone;
  }
  const Tokens target = Target(now, budget);
  const Tokens free = limit - Committed(*stored);
  if (budget.Need() > unallocated && free >= budget.Need() - unallocated) {
    return Urgency::kNow;
  }
  if (free > 0 && unallocated < target) {
    if (unallocated * kPercent < target * policy_.urgent_percent) {
      return Urgency::kNow;
    }
    if (unallocated * kPercent < target * policy_.refill_percent) {
      return Urgency::kDeferred;
    }
  }
  // What is left at a lender at the end of a budget serves small requests
  // there.
  const bool is_little = IsLender(ShardOfBudget(budget)) &&
                         unallocated * kMinTargetDivisor < limit;
  if (unallocated * kPercent > target * policy_.surplus_percent && !is_little) {
    return Urgency::kDeferred;
  }
  return Urgency::kNone;
}

MeteredBudgetManager::State::Urgency MeteredBudgetManager::State::UrgencyOf(
    base::Millis now,
    const Shard& shard) const {
  Urgency most = Urgency::kNone;
  for (const MeteredBudget* budget : shard.budgets) {
    most = std::max(most, UrgencyOf(now, *budget));
  }
  return most;
}

bool MeteredBudgetManager::State::HasWaiting(const Shard& shard) const {
  return std::any_of(
      shard.budgets.begin(), shard.budgets.end(),
      [](const MeteredBudget* budget) { return budget->Need() > 0; });
}

}  // namespace godwit::ledger
