#include "metered_state.h"

#include <algorithm>
#include <utility>

#include "cas/progress.h"
#include "ledger/shard.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

constexpr int64_t kPercent = 100;
// A router counts as having used its even part of this part of a limit before
// it used anything.
constexpr double kPriorPart = 20;
// The pause after a lost race grows up to this many in a row.
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
    : process_(std::move(process)), self_(std::move(self)), policy_(policy) {
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

template <typename Amount>
Tokens MeteredHolder::State::LeastOf(const base::BudgetId& budget,
                                     Amount amount) const {
  const View& view = ShardOfBudget(budget).view;
  if (!view.known()) {
    return 0;
  }
  std::optional<Tokens> least;
  view.HoldsInAll([&](const LedgerRecord& record) {
    const Grant* const grant = OwnGrant(record, budget);
    const Tokens tokens = grant == nullptr ? 0 : amount(*grant);
    least = std::min(least.value_or(tokens), tokens);
    return true;
  });
  return *least;
}

Tokens MeteredHolder::State::Granted(const base::BudgetId& budget) const {
  return LeastOf(budget, [](const Grant& grant) { return grant.amount; });
}

Tokens MeteredHolder::State::Promised(const base::BudgetId& budget) const {
  return LeastOf(budget, [](const Grant& grant) {
    return grant.promise ? std::min(grant.amount, grant.promise->most) : 0;
  });
}

bool MeteredHolder::State::IsOnItsOwn(const Shard& shard) const {
  const base::Millis latest =
      shard.view.has_open_writes() ? shard.offered_at : shard.promised_at;
  return now_ - latest >= policy_.promise_time;
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
  if (held == 0 || IsOnItsOwn(ShardOfBudget(budget))) {
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
  return budget.need +
         std::max(soon, Target(now, budget) / policy_.promise_part);
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
  return std::max(budget.need, std::min(std::max(first, cover), Share(budget)));
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
  const Tokens available = Available(id);
  if (IsOverCommitted(budget)) {
    return holds_free ? Urgency::kNow : Urgency::kNone;
  }
  const Tokens target = Target(now, budget);
  const Tokens free = limit - Committed(*stored);
  if (budget.need > available && (free > 0 || held >= budget.need)) {
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
  // A promise is renewed while tokens are used.
  const Grant* const own = OwnGrant(record, id);
  const bool used_since = own != nullptr && budget.spent != own->billed();
  return used_since ? Urgency::kLazy : Urgency::kNone;
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

std::vector<MeteredHolder::KvCommand> MeteredHolder::State::Pump(
    base::Millis now) {
  std::vector<KvCommand> commands;
  if (!configuration_) {
    return commands;
  }
  for (Shard& shard : shards_) {
    if (auto command = PumpShard(now, shard)) {
      commands.push_back(std::move(*command));
    }
  }
  return commands;
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
  const base::Millis lifetime =
      IsAwaited(shard) ? policy_.fresh : policy_.recall_poll;
  if (now >= shard.view.proven_at() + lifetime) {
    return shard.view.StartRead(now, next_operation_++);
  }
  return std::nullopt;
}

LedgerRecord MeteredHolder::State::NextRecord(base::Millis now, Shard& shard) {
  // While the KV does not answer, the time runs since the last write that may
  // have taken effect.
  if (shard.answers) {
    shard.offered_at = now;
  }
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
  if (OwnGrant(edit.record(), id) != nullptr) {
    edit.Promise(id, grant,
                 {used + Headroom(now, budget), ShardOfBudget(id).offered_at,
                  clock_offset_});
  }
}

bool MeteredHolder::State::StillBinds(base::Millis now,
                                      const SpendPromise& promise) const {
  const base::Millis drift = clock_offset_ - promise.clock_offset;
  return now >= promise.clock && now < promise.clock + policy_.promise_time &&
         drift < policy_.clock_jitter &&
         base::Millis(0) - policy_.clock_jitter < drift;
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
    const bool is_bound = grant.promise && StillBinds(now, *grant.promise);
    for (const auto& [agent, account] : grant.agents) {
      if (is_bound) {
        edit.FinishAgent(budget, id, agent,
                         std::min(grant.amount, std::max(account.billed,
                                                         grant.promise->most)));
      } else {
        edit.LoseAgent(budget, id, agent);
      }
    }
    edit.Close(budget, id);
  }
}

template <typename Done>
void MeteredHolder::State::OnDone(base::Millis now, const Done& done) {
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
      // The first race is run again at once; a configuration that this router
      // does not know yet makes it lose each one until it does.
      shard.retry_at = now + policy_.race_pause * shard.lost_races;
      shard.last_write_at = base::Millis();
      shard.lost_races = std::min(shard.lost_races + 1, kMostRacesCounted);
    } else if (was_write) {
      shard.lost_races = 0;
      shard.promised_at = shard.offered_at;
    }
    if (was_write && shard.view.has_open_writes()) {
      // It may take effect yet.
      shard.promised_at = shard.offered_at;
    }
    return;
  }
}

template void MeteredHolder::State::OnDone(base::Millis,
                                           const platform::KvReadDone&);
template void MeteredHolder::State::OnDone(base::Millis,
                                           const platform::KvWriteDone&);

}  // namespace godwit::ledger
