#include "metered_state.h"

#include <algorithm>
#include <utility>

#include "ledger/shard.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

constexpr int64_t kPercent = 100;
// A router counts as having used its even part of this part of a limit before
// it used anything.
constexpr double kPriorPart = 20;
// A holding below one part in this many of the limit is given back whole.
constexpr Tokens kCrumbPart = 500;

// The ledger's own keys are numbers.
constexpr char kLayoutKey[] = "ledger/layout";

Tokens Committed(const Budget& budget) {
  return budget.limit - budget.free();
}

}  // namespace

MeteredHolder::State::State(base::ProcessId process,
                            base::Incarnation self,
                            MeteredPolicy policy)
    : process_(std::move(process)),
      self_(std::move(self)),
      policy_(policy),
      promises_(process_, self_, policy_),
      layout_(kLayoutKey) {
  for (int i = 0; i < policy_.shard_count; ++i) {
    shards_.emplace_back(ShardKey(i));
  }
}

const Budget* MeteredHolder::State::BudgetIn(const LedgerRecord& record,
                                             const base::BudgetId& id) {
  const auto found = record.budgets.find(id);
  return found == record.budgets.end() ? nullptr : &found->second;
}

const MeteredHolder::State::Shard& MeteredHolder::State::ShardOfBudget(
    const MeteredBudget& budget) const {
  return shards_[budget.shard];
}

MeteredBudget* MeteredHolder::State::Find(const base::BudgetId& budget) {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? nullptr : &found->second;
}

const MeteredBudget* MeteredHolder::State::Find(
    const base::BudgetId& budget) const {
  const auto found = budgets_.find(budget);
  return found == budgets_.end() ? nullptr : &found->second;
}

base::GrantId MeteredHolder::State::GrantOf(
    const base::BudgetId& budget) const {
  return base::GrantId(self_.value() + "/" + budget.value());
}

const Grant* MeteredHolder::State::OwnGrant(
    const LedgerRecord& record,
    const base::BudgetId& budget) const {
  const Budget* const stored = BudgetIn(record, budget);
  if (stored == nullptr) {
    return nullptr;
  }
  const auto found = stored->grants.find(GrantOf(budget));
  return found == stored->grants.end() ? nullptr : &found->second;
}

Tokens MeteredHolder::State::Granted(const MeteredBudget& budget) const {
  const View& view = ShardOfBudget(budget).view;
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

Tokens MeteredHolder::State::Promised(const MeteredBudget& budget) const {
  return promises_.Promised(budget.limit.budget);
}

bool MeteredHolder::State::IsOnItsOwn() const {
  return promises_.IsOnItsOwn(now_);
}

Tokens MeteredHolder::State::Taken(const MeteredBudget& budget) const {
  return budget.spent + budget.ReservedOfGrant() +
         book_.Outstanding(budget.limit.budget);
}

Tokens MeteredHolder::State::Held(const MeteredBudget& budget) const {
  if (IsOverCommitted(budget)) {
    return 0;
  }
  return std::max<Tokens>(0, Granted(budget) - Taken(budget));
}

Tokens MeteredHolder::State::OwnAvailable(const MeteredBudget& budget) const {
  const Tokens held = Held(budget);
  if (held == 0 || IsOnItsOwn()) {
    return held;
  }
  return std::clamp<Tokens>(Promised(budget) - Taken(budget), 0, held);
}

Tokens MeteredHolder::State::Available(const MeteredBudget& budget) const {
  return OwnAvailable(budget) +
         std::max<Tokens>(0, budget.borrowed.free() - budget.reserved);
}

Tokens MeteredHolder::State::Headroom(base::Millis now,
                                      const MeteredBudget& budget) const {
  const Tokens soon = budget.BurnOver(now, policy_.promise_time, policy_) *
                      policy_.promise_percent / kPercent;
  const Tokens target = Target(now, budget);
  const Tokens small =
      std::min(target, budget.limit.limit / policy_.small_part);
  return budget.Need() + std::max({soon, small, target / policy_.promise_part});
}

bool MeteredHolder::State::IsOverCommitted(const MeteredBudget& budget) const {
  const Budget* const stored =
      BudgetIn(ShardOfBudget(budget).view.record(), budget.limit.budget);
  return stored != nullptr && Committed(*stored) > budget.limit.limit;
}

Tokens MeteredHolder::State::MostLeft(const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const Budget* const stored =
      BudgetIn(ShardOfBudget(budget).view.record(), id);
  if (stored == nullptr) {
    return budget.limit.limit - (budget.spent - budget.unproven);
  }
  Tokens used = stored->total_billed();
  if (const Grant* const own =
          OwnGrant(ShardOfBudget(budget).view.record(), id)) {
    used += std::max<Tokens>(0, budget.spent - budget.unproven - own->billed());
  }
  return budget.limit.limit - used;
}

Tokens MeteredHolder::State::Target(base::Millis now,
                                    const MeteredBudget& budget) const {
  if (draining_ || budget.dropped || IsOverCommitted(budget)) {
    return 0;
  }
  const bool is_lender = IsLender(ShardOfBudget(budget));
  const Tokens burn = budget.BurnOver(now, policy_.cover, policy_);
  if (!is_lender && burn == 0) {
    return budget.Need();
  }
  const auto holders = static_cast<Tokens>(peers_.empty() ? routers_ : 1);
  const Tokens first =
      is_lender ? budget.limit.limit / (policy_.first_part * holders) : 0;
  const Tokens large =
      std::min(policy_.large_requests * budget.largest,
               budget.limit.limit / (policy_.large_part * holders));
  const Tokens target = std::min(std::max(first, burn + large), Share(budget));
  // Crumbs serve nobody here, and are missing elsewhere.
  const bool is_crumb = target * kCrumbPart < budget.limit.limit;
  return std::max(budget.Need(), is_crumb ? 0 : target);
}

bool MeteredHolder::State::IsTooLargeForTheRest(const MeteredBudget& budget,
                                                Tokens amount) const {
  const Tokens left = MostLeft(budget);
  return amount > budget.usual &&
         left * policy_.scarce_part < budget.limit.limit &&
         amount * policy_.largest_part > left;
}

// As a budget nears its end each router keeps to its share of what is left.
Tokens MeteredHolder::State::Share(const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const Budget* const stored =
      BudgetIn(ShardOfBudget(budget).view.record(), id);
  const auto routers = static_cast<double>(routers_);
  if (stored == nullptr) {
    return budget.limit.limit / static_cast<Tokens>(routers_);
  }
  const Tokens free =
      std::max<Tokens>(0, budget.limit.limit - Committed(*stored));
  const Grant* const own = OwnGrant(ShardOfBudget(budget).view.record(), id);
  const Tokens told = own == nullptr ? 0 : own->billed();
  const auto spent = static_cast<double>(budget.spent);
  const double all = static_cast<double>(stored->total_billed() - told) + spent;
  // Until much is used, usage says little on who will use the rest.
  const auto prior = static_cast<double>(budget.limit.limit) / kPriorPart;
  const bool is_sole = !peers_.empty() && IsLender(ShardOfBudget(budget));
  const double part = is_sole ? 1 : (spent + prior / routers) / (all + prior);
  const double left =
      1 - all / static_cast<double>(std::max<Tokens>(1, budget.limit.limit));
  const double together =
      std::clamp((left - policy_.share_scarce) * policy_.share_slope,
                 policy_.least_share, policy_.most_share);
  return static_cast<Tokens>(static_cast<double>(free + Held(budget)) * part *
                             together);
}

bool MeteredHolder::State::IsAway(base::Millis now, const Shard& shard) const {
  const auto busy = shard.view.busy_since();
  return !shard.answers || (busy && now - *busy > policy_.usual_answer);
}

MeteredHolder::State::Urgency MeteredHolder::State::UrgencyOf(
    base::Millis now,
    const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const LedgerRecord& record = ShardOfBudget(budget).view.record();
  const bool has_grant = OwnGrant(record, id) != nullptr;
  const bool holds_free = has_grant && Granted(budget) > Taken(budget);
  if (draining_) {
    const bool may_close =
        budget.reserved == 0 && (holds_free || book_.Outstanding(id) == 0);
    return has_grant && may_close ? Urgency::kNow : Urgency::kNone;
  }
  if (budget.dropped) {
    return holds_free ? Urgency::kLazy : Urgency::kNone;
  }
  const Budget* const stored = BudgetIn(record, id);
  const Tokens limit = budget.limit.limit;
  const bool takes_part =
      has_grant || budget.Need() > 0 || IsLender(ShardOfBudget(budget));
  if (stored == nullptr ||
      stored->limit != std::max(limit, Committed(*stored))) {
    return takes_part ? Urgency::kNow : Urgency::kNone;
  }
  if (HasEarlierGrant(*stored)) {
    return Urgency::kNow;
  }
  const Tokens held = Held(budget);
  if (IsOverCommitted(budget)) {
    return holds_free ? Urgency::kNow : Urgency::kNone;
  }
  const Tokens target = Target(now, budget);
  const Tokens free = limit - Committed(*stored);
  if (budget.Need() > held && free > 0) {
    return Urgency::kNow;
  }
  if (free > 0 && held < target) {
    if (held * kPercent < target * policy_.urgent_percent) {
      return Urgency::kNow;
    }
    if (held * kPercent < target * policy_.refill_percent) {
      return Urgency::kLazy;
    }
  }
  if (held * kPercent > target * policy_.surplus_percent) {
    return Urgency::kLazy;
  }
  return Urgency::kNone;
}

MeteredHolder::State::Urgency MeteredHolder::State::UrgencyOf(
    base::Millis now,
    const Shard& shard) const {
  Urgency most = Urgency::kNone;
  for (const MeteredBudget* budget : shard.budgets) {
    most = std::max(most, UrgencyOf(now, *budget));
  }
  return most;
}

bool MeteredHolder::State::IsAwaited(const Shard& shard) const {
  return std::any_of(
      shard.budgets.begin(), shard.budgets.end(),
      [](const MeteredBudget* budget) { return budget->Need() > 0; });
}

}  // namespace godwit::ledger
