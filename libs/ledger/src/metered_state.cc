#include "metered_state.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "cas/progress.h"
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
// Lost races in a row after which the pause is that of a failure.
constexpr int kMostRacesCounted = 10;

const Budget* BudgetIn(const LedgerRecord& record, const base::BudgetId& id) {
  const auto found = record.budgets.find(id);
  return found == record.budgets.end() ? nullptr : &found->second;
}

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
      promises_(process_, self_, policy_) {
  for (int i = 0; i < policy_.shard_count; ++i) {
    shards_.emplace_back(ShardKey(i));
  }
}

MeteredHolder::State::Shard& MeteredHolder::State::ShardOfBudget(
    const base::BudgetId& budget) {
  return shards_[static_cast<size_t>(ShardOf(budget, policy_.shard_count))];
}

const MeteredHolder::State::Shard& MeteredHolder::State::ShardOfBudget(
    const base::BudgetId& budget) const {
  return shards_[static_cast<size_t>(ShardOf(budget, policy_.shard_count))];
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

Tokens MeteredHolder::State::Granted(const base::BudgetId& budget) const {
  const View& view = ShardOfBudget(budget).view;
  if (!view.known()) {
    return 0;
  }
  std::optional<Tokens> least;
  view.HoldsInAll([&](const LedgerRecord& record) {
    const Grant* const grant = OwnGrant(record, budget);
    const Tokens amount = grant == nullptr ? 0 : grant->amount;
    least = std::min(least.value_or(amount), amount);
    return true;
  });
  return *least;
}

Tokens MeteredHolder::State::Promised(const base::BudgetId& budget) const {
  return promises_.Promised(budget);
}

bool MeteredHolder::State::IsOnItsOwn() const {
  return promises_.IsOnItsOwn(now_);
}

Tokens MeteredHolder::State::Held(const base::BudgetId& budget) const {
  const MeteredBudget* const local = Find(budget);
  if (local == nullptr || IsOverCommitted(*local)) {
    return 0;
  }
  return std::max<Tokens>(0, Granted(budget) - local->spent - local->reserved);
}

Tokens MeteredHolder::State::Available(const base::BudgetId& budget) const {
  const Tokens held = Held(budget);
  if (held == 0 || IsOnItsOwn()) {
    return held;
  }
  const MeteredBudget& local = *Find(budget);
  return std::clamp<Tokens>(Promised(budget) - local.spent - local.reserved, 0,
                            held);
}

Tokens MeteredHolder::State::Headroom(base::Millis now,
                                      const MeteredBudget& budget) const {
  const Tokens soon = budget.BurnOver(now, policy_.promise_time, policy_) *
                      policy_.promise_percent / kPercent;
  const Tokens target = Target(now, budget);
  const Tokens small =
      std::min(target, budget.limit.limit / policy_.small_part);
  return budget.need + std::max({soon, small, target / policy_.promise_part});
}

bool MeteredHolder::State::IsOverCommitted(const MeteredBudget& budget) const {
  const Budget* const stored = BudgetIn(
      ShardOfBudget(budget.limit.budget).view.record(), budget.limit.budget);
  return stored != nullptr && Committed(*stored) > budget.limit.limit;
}

Tokens MeteredHolder::State::MostLeft(const MeteredBudget& budget) const {
  const base::BudgetId& id = budget.limit.budget;
  const Budget* const stored = BudgetIn(ShardOfBudget(id).view.record(), id);
  if (stored == nullptr) {
    return budget.limit.limit - budget.spent;
  }
  Tokens used = stored->total_billed();
  if (const Grant* const own = OwnGrant(ShardOfBudget(id).view.record(), id)) {
    used += std::max<Tokens>(0, budget.spent - own->billed());
  }
  return budget.limit.limit - used;
}

Tokens MeteredHolder::State::Target(base::Millis now,
                                    const MeteredBudget& budget) const {
  if (draining_ || budget.dropped || IsOverCommitted(budget)) {
    return 0;
  }
  const auto routers = static_cast<Tokens>(routers_);
  const Tokens first = budget.limit.limit / (policy_.first_part * routers);
  const Tokens large =
      std::min(policy_.large_requests * budget.largest,
               budget.limit.limit / (policy_.large_part * routers));
  const Tokens cover = budget.BurnOver(now, policy_.cover, policy_) + large;
  const Tokens target = std::min(std::max(first, cover), Share(budget));
  // Crumbs serve nobody here, and are missing elsewhere.
  const bool is_crumb = target * kCrumbPart < budget.limit.limit;
  return std::max(budget.need, is_crumb ? 0 : target);
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
  const Budget* const stored = BudgetIn(ShardOfBudget(id).view.record(), id);
  const auto routers = static_cast<double>(routers_);
  if (stored == nullptr) {
    return budget.limit.limit / static_cast<Tokens>(routers_);
  }
  const Tokens free =
      std::max<Tokens>(0, budget.limit.limit - Committed(*stored));
  const Grant* const own = OwnGrant(ShardOfBudget(id).view.record(), id);
  const Tokens told = own == nullptr ? 0 : own->billed();
  const auto spent = static_cast<double>(budget.spent);
  const double all = static_cast<double>(stored->total_billed() - told) + spent;
  // Until much is used, usage says little on who will use the rest.
  const auto prior = static_cast<double>(budget.limit.limit) / kPriorPart;
  const double part = (spent + prior / routers) / (all + prior);
  const double left =
      1 - all / static_cast<double>(std::max<Tokens>(1, budget.limit.limit));
  const double together =
      std::clamp((left - policy_.share_scarce) * policy_.share_slope,
                 policy_.least_share, policy_.most_share);
  return static_cast<Tokens>(static_cast<double>(free + Held(id)) * part *
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
  const LedgerRecord& record = ShardOfBudget(id).view.record();
  const bool has_grant = OwnGrant(record, id) != nullptr;
  const bool holds_free =
      has_grant && Granted(id) > budget.spent + budget.reserved;
  if (draining_) {
    return has_grant && budget.reserved == 0 ? Urgency::kNow : Urgency::kNone;
  }
  if (budget.dropped) {
    return holds_free ? Urgency::kLazy : Urgency::kNone;
  }
  const Budget* const stored = BudgetIn(record, id);
  const Tokens limit = budget.limit.limit;
  if (stored == nullptr ||
      stored->limit != std::max(limit, Committed(*stored))) {
    return Urgency::kNow;
  }
  const Tokens held = Held(id);
  if (IsOverCommitted(budget)) {
    return holds_free ? Urgency::kNow : Urgency::kNone;
  }
  const Tokens target = Target(now, budget);
  const Tokens free = limit - Committed(*stored);
  if (budget.need > held && free > 0) {
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
  for (const auto& [id, budget] : budgets_) {
    if (&ShardOfBudget(id) == &shard) {
      most = std::max(most, UrgencyOf(now, budget));
    }
  }
  return most;
}

bool MeteredHolder::State::IsAwaited(const Shard& shard) const {
  return std::any_of(budgets_.begin(), budgets_.end(), [&](const auto& entry) {
    return entry.second.need > 0 && &ShardOfBudget(entry.first) == &shard;
  });
}

bool MeteredHolder::State::HoldsAny(const Shard& shard) const {
  return std::any_of(budgets_.begin(), budgets_.end(), [&](const auto& entry) {
    return &ShardOfBudget(entry.first) == &shard && Held(entry.first) > 0;
  });
}

std::vector<MeteredHolder::KvCommand> MeteredHolder::State::Pump(
    base::Millis now) {
  std::vector<KvCommand> commands;
  if (!configuration_) {
    return commands;
  }
  if (auto command = PumpPromise(now)) {
    commands.push_back(std::move(*command));
  }
  // What an earlier life promised must be known before its grants are closed.
  if (!promises_.known()) {
    return commands;
  }
  for (Shard& shard : shards_) {
    if (auto command = PumpShard(now, shard)) {
      commands.push_back(std::move(*command));
    }
  }
  return commands;
}

std::optional<MeteredHolder::KvCommand> MeteredHolder::State::PumpPromise(
    base::Millis now) {
  if (auto read = promises_.Read(now, next_operation_)) {
    ++next_operation_;
    return *read;
  }
  SpendPromise promise;
  promise.clock_offset = clock_offset_;
  bool is_urgent = false;
  bool is_due = false;
  for (const auto& [id, budget] : budgets_) {
    const Tokens used = budget.spent + budget.reserved;
    const Tokens headroom = Headroom(now, budget);
    const Tokens promised = Promised(id);
    promise.most[id] = std::min(Granted(id), used + headroom);
    is_due = is_due || promise.most[id] != promised;
    is_urgent = is_urgent ||
                (budget.need > Available(id) && promise.most[id] > promised);
  }
  if (!is_due || draining_) {
    return std::nullopt;
  }
  auto write =
      promises_.Write(now, next_operation_, is_urgent, std::move(promise));
  if (!write) {
    return std::nullopt;
  }
  ++next_operation_;
  return *write;
}

std::optional<MeteredHolder::KvCommand> MeteredHolder::State::PumpShard(
    base::Millis now,
    Shard& shard) {
  if (const auto busy = shard.view.busy_since()) {
    if (now - *busy < policy_.operation_limit) {
      return std::nullopt;
    }
    shard.view.GiveUp();
    shard.answers = false;
  }
  if (now < shard.retry_at) {
    return std::nullopt;
  }
  if (!shard.view.known() || shard.view.outdated() || shard.view.corrupt()) {
    return shard.view.StartRead(now, next_operation_++);
  }
  const Urgency urgency = UrgencyOf(now, shard);
  const base::Millis spacing =
      urgency == Urgency::kNow ? policy_.write_spacing : policy_.lazy_spacing;
  if (urgency != Urgency::kNone && now >= shard.last_write_at + spacing) {
    shard.last_write_at = now;
    platform::KvWrite write =
        shard.view.StartWrite(now, next_operation_++, NextRecord(now, shard));
    write.conditions.push_back(*configuration_);
    return write;
  }
  // What others gave back or lack shows only in a newer record.
  const base::Millis age = now - shard.view.proven_at();
  if ((IsAwaited(shard) && age >= policy_.fresh) ||
      (HoldsAny(shard) && age >= policy_.recall_poll)) {
    return shard.view.StartRead(now, next_operation_++);
  }
  return std::nullopt;
}

LedgerRecord MeteredHolder::State::NextRecord(base::Millis now,
                                              const Shard& shard) {
  LedgerEdit edit(shard.view.record());
  for (const auto& [id, budget] : budgets_) {
    if (&ShardOfBudget(id) == &shard) {
      Edit(now, edit, budget);
    }
  }
  return edit.record();
}

// Each step leaves the record valid, and a step that can't be done leaves it
// as it was: the next write tries again from a newer record.
void MeteredHolder::State::Edit(base::Millis now,
                                LedgerEdit& edit,
                                const MeteredBudget& budget) {
  const base::BudgetId& id = budget.limit.budget;
  const base::GrantId grant = GrantOf(id);
  edit.CreateBudget(id, budget.limit.organisation);
  CloseEarlierGrants(now, edit, id);
  const Tokens target = Target(now, budget);
  const Tokens used = budget.spent + budget.reserved;
  const Tokens held = std::max<Tokens>(0, Granted(id) - used);
  if (OwnGrant(edit.record(), id) != nullptr) {
    edit.Settle(id, grant, self_, budget.spent);
    if (draining_ && budget.reserved == 0) {
      edit.ReturnGrant(id, grant);
    } else if (held > target) {
      edit.Shrink(id, grant, held - target);
    }
  }
  edit.SetLimit(id, budget.limit.limit, now);
  const Budget* const stored = BudgetIn(edit.record(), id);
  const Tokens draw =
      stored == nullptr || target == 0
          ? 0
          : std::min(target - held, std::max<Tokens>(0, stored->free()));
  if (draw > 0 && edit.Draw(id, grant, self_, draw)) {
    edit.ListAgents(id, grant, {self_});
  }
}

// Earlier lives of this process are over: what they used is in the record or,
// with a promise that still binds, at most what was promised. Otherwise the
// whole grant may have been used.
void MeteredHolder::State::CloseEarlierGrants(base::Millis now,
                                              LedgerEdit& edit,
                                              const base::BudgetId& budget) {
  const Budget* const stored = BudgetIn(edit.record(), budget);
  if (stored == nullptr) {
    return;
  }
  const std::string prefix = process_.value() + ".";
  const auto grants = stored->grants;
  for (const auto& [id, grant] : grants) {
    if (grant.holder == self_ ||
        grant.holder.value().compare(0, prefix.size(), prefix) != 0) {
      continue;
    }
    edit.Seal(budget, id);
    const auto most =
        promises_.MostOf(now, clock_offset_, grant.holder, budget);
    for (const auto& [agent, account] : grant.agents) {
      if (most) {
        edit.FinishAgent(
            budget, id, agent,
            std::min(grant.amount, std::max(account.billed, *most)));
      } else {
        edit.LoseAgent(budget, id, agent);
      }
    }
    edit.Close(budget, id);
  }
}

template <typename Done>
void MeteredHolder::State::OnDone(base::Millis now, const Done& done) {
  if (promises_.Finish(now, done)) {
    return;
  }
  for (Shard& shard : shards_) {
    const bool was_write = shard.view.is_writing();
    const cas::Progress progress = shard.view.Finish(done);
    if (progress == cas::Progress::kForeign) {
      continue;
    }
    shard.answers = progress != cas::Progress::kFailed;
    if (progress == cas::Progress::kFailed) {
      shard.retry_at = now + policy_.failure_pause;
    } else if (progress == cas::Progress::kLost) {
      // Short and uneven, so that losers meet neither each other nor a winner
      // that goes on writing. A configuration that this router does not know
      // yet makes it lose each race until it does.
      shard.retry_at =
          now + (shard.lost_races < kMostRacesCounted ? RacePause(shard)
                                                      : policy_.failure_pause);
      shard.last_write_at = base::Millis();
      shard.lost_races = std::min(shard.lost_races + 1, kMostRacesCounted);
    } else if (was_write) {
      shard.lost_races = 0;
    }
    return;
  }
}

base::Millis MeteredHolder::State::RacePause(const Shard& shard) const {
  const std::string turn =
      self_.value() + std::to_string(now_.count() + shard.lost_races);
  const auto most = static_cast<uint64_t>(policy_.race_pause.count());
  return base::Millis(
      static_cast<int64_t>(base::Digest::Of(turn).low() % (most + 1)));
}

template void MeteredHolder::State::OnDone(base::Millis,
                                           const platform::KvReadDone&);
template void MeteredHolder::State::OnDone(base::Millis,
                                           const platform::KvWriteDone&);

}  // namespace godwit::ledger
