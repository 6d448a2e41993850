// KV operations of a MeteredBudgetManager and their schedule.
#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"
#include "cas/progress.h"
#include "failure_backoff.h"
#include "metered_state.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

// Number of consecutive lost races after which the pause is that of a failure.
constexpr int kMaxCountedRaces = 10;
constexpr int64_t kPercent = 100;

}  // namespace

bool MeteredBudgetManager::State::HasUnallocated(const Shard& shard) const {
  return std::any_of(
      shard.budgets.begin(), shard.budgets.end(),
      [this](const MeteredBudget* budget) { return Unallocated(*budget) > 0; });
}

std::vector<MeteredBudgetManager::Command> MeteredBudgetManager::State::Process(
    base::Millis now) {
  std::vector<Command> commands;
  if (!configuration_) {
    return commands;
  }
  ProcessLoans(now);
  AskForClocks(now);
  std::swap(commands, outbox_);
  if (auto command = NextPromiseCommand(now)) {
    commands.push_back(std::move(*command));
  }
  if (auto operation = era_marker_.Next(now, next_operation_)) {
    ++next_operation_;
    std::visit(
        [&commands](auto& command) { commands.push_back(std::move(command)); },
        *operation);
  }
  if (!KnowsLayout()) {
    if (auto command = NextLayoutCommand(now)) {
      commands.push_back(std::move(*command));
    }
    return commands;
  }
  // An earlier incarnation's promise must be known before its grants are
  // closed.
  if (!promises_.known()) {
    return commands;
  }
  for (Shard& shard : shards_) {
    if (auto command = NextShardCommand(now, shard)) {
      commands.push_back(std::move(*command));
    }
    if (shard.has_new_bounds) {
      AnnounceBounds(shard);
    }
  }
  std::move(outbox_.begin(), outbox_.end(), std::back_inserter(commands));
  outbox_.clear();
  return commands;
}

bool MeteredBudgetManager::State::KnowsLayout() const {
  return layout_.known() && layout_.record().keys == policy_.shard_count;
}

std::optional<MeteredBudgetManager::Command>
MeteredBudgetManager::State::NextLayoutCommand(base::Millis now) {
  if (const auto busy = layout_.busy_since()) {
    if (now - *busy < policy_.operation_timeout) {
      return std::nullopt;
    }
    layout_.Abandon();
  }
  if (now < layout_retry_at_) {
    return std::nullopt;
  }
  if (!layout_.known() || layout_.outdated()) {
    return layout_.StartRead(now, next_operation_++);
  }
  if (layout_.record().keys == 0) {
    return layout_.StartWrite(now, next_operation_++,
                              LedgerLayout{policy_.shard_count});
  }
  return std::nullopt;
}

std::optional<MeteredBudgetManager::Command>
MeteredBudgetManager::State::NextPromiseCommand(base::Millis now) {
  if (auto read = promises_.Read(now, next_operation_)) {
    ++next_operation_;
    return *read;
  }
  std::optional<base::Millis> spacing;
  for (const auto& [id, budget] : budgets_) {
    if (const auto needed = PromiseSpacing(now, budget)) {
      spacing = std::min(spacing.value_or(*needed), *needed);
    }
  }
  // Until the ledger is complete, a router that stops can't return its tokens,
  // but promises not to use them.
  const bool returns_tokens =
      draining_ &&
      std::all_of(shards_.begin(), shards_.end(),
                  [](const Shard& shard) { return shard.is_complete; });
  if (!spacing || returns_tokens || !clock_offset_) {
    return std::nullopt;
  }
  SpendPromise promise;
  promise.clock_offset = *clock_offset_;
  if (const auto fleet_offset = fleet_clock_.Earliest(now)) {
    promise.fleet_time = now + *fleet_offset;
  }
  promise.wall_clocks = fleet_clock_.LowerBounds(now, policy_.promise_clocks);
  for (const auto& [id, budget] : budgets_) {
    if (Granted(budget) > 0) {
      promise.allowances[id] = NextAllowance(now, budget);
      promise.uses[id] = UseOf(budget);
      promise.granted[id] = BoundOf(budget);
    }
  }
  auto write =
      promises_.Write(now, next_operation_, *spacing, std::move(promise));
  if (!write) {
    return std::nullopt;
  }
  ++next_operation_;
  return *write;
}

std::optional<base::Millis> MeteredBudgetManager::State::PromiseSpacing(
    base::Millis now,
    const MeteredBudget& budget) const {
  const Tokens granted = Granted(budget);
  const Tokens allocated = Allocated(budget);
  const Tokens promised = std::min(granted, Promised(budget));
  const Tokens wanted = std::min(granted, allocated + Headroom(now, budget));
  const Tokens advance = wanted - allocated;
  if (promised < wanted) {
    // What is borrowed can't be lent.
    if (budget.need > Available(budget) ||
        budget.borrower_need > OwnAvailable(budget)) {
      return policy_.min_write_interval;
    }
    if ((promised - allocated) * kPercent <
        advance * policy_.promise_refill_percent) {
      return policy_.deferred_write_interval;
    }
  }
  // What a promise allows and is not used is lost with the router. At the end
  // of a budget little is granted.
  if (!budget.is_scarce && (promised - allocated) * kPercent >
                               advance * policy_.promise_surplus_percent) {
    return policy_.promise_reduce_interval;
  }
  // An old promise allows more for the time that a router is off.
  if (granted > 0 && budget.last_drawn_at > promises_.written_at()) {
    return policy_.promise_refresh_interval;
  }
  return std::nullopt;
}

std::optional<MeteredBudgetManager::Command>
MeteredBudgetManager::State::NextShardCommand(base::Millis now, Shard& shard) {
  if (const auto busy = shard.view.busy_since()) {
    if (now - *busy < policy_.operation_timeout) {
      return std::nullopt;
    }
    shard.view.Abandon();
    shard.is_kv_answering = false;
  }
  if (now < shard.retry_at) {
    return std::nullopt;
  }
  if (!shard.view.known() || shard.view.outdated() || shard.view.corrupt()) {
    return shard.view.StartRead(now, next_operation_++);
  }
  CheckComplete(now, shard);
  if (!shard.is_complete) {
    return NextMergeCommand(now, shard);
  }
  SettleEarlierGrants(shard);
  // Until the configuration of this era is known, writes would not take effect.
  if (configuration_->version.era != era_ || !era_marker_.exists()) {
    return std::nullopt;
  }
  const Urgency urgency = UrgencyOf(now, shard);
  const base::Millis spacing = urgency == Urgency::kNow
                                   ? policy_.min_write_interval
                                   : policy_.deferred_write_interval;
  if (urgency != Urgency::kNone && now >= shard.last_write_at + spacing) {
    shard.last_write_at = now;
    platform::KvWrite write =
        shard.view.StartWrite(now, next_operation_++, NextRecord(now, shard));
    write.conditions = era_marker_.Conditions();
    write.conditions.push_back(*configuration_);
    shard.has_new_bounds = true;
    return write;
  }
  // Tokens that other routers returned or are short of show only in a newer
  // record.
  const base::Millis age = now - shard.view.confirmed_at();
  if ((HasWaiting(shard) && age >= policy_.max_record_age) ||
      (HasUnallocated(shard) && age >= policy_.recall_poll_interval)) {
    return shard.view.StartRead(now, next_operation_++);
  }
  return std::nullopt;
}

LedgerRecord MeteredBudgetManager::State::NextRecord(base::Millis now,
                                                     Shard& shard) {
  LedgerEdit edit(shard.view.record());
  shard.closing.clear();
  const bool may_close = EarlierLifetime(now).is_decided;
  for (const MeteredBudget* budget : shard.budgets) {
    const base::BudgetId& id = budget->limit.budget;
    edit.CreateBudget(id, budget->limit.organisation);
    if (may_close) {
      const auto closed = CloseEarlierGrants(now, edit, id);
      shard.closing.insert(shard.closing.end(), closed.begin(), closed.end());
    }
    FoldOldGrants(now, shard, edit, id);
    EditBudget(now, edit, *budget);
  }
  edit.SetEra(era_);
  return edit.record();
}

// Each step leaves the record valid. A step that fails leaves it unchanged, and
// the next write retries it from a newer record.
void MeteredBudgetManager::State::EditBudget(base::Millis now,
                                             LedgerEdit& edit,
                                             const MeteredBudget& budget) {
  const base::BudgetId& id = budget.limit.budget;
  const base::GrantId grant = GrantOf(id);
  const Tokens target = Target(now, budget);
  const Tokens unallocated =
      std::max<Tokens>(0, Granted(budget) - Allocated(budget));
  const Grant* const before = OwnGrant(edit.record(), id);
  const Tokens amount_before = before == nullptr ? 0 : before->amount;
  if (before != nullptr) {
    edit.Settle(id, grant, self_, budget.spent - budget.unproven);
    if (draining_ && budget.reserved == 0 && loans_.Outstanding(id) == 0) {
      edit.Retire(id, grant, Allocated(budget), GrantClosure::kBounded);
    } else if (unallocated > target) {
      edit.Shrink(id, grant, unallocated - target);
    }
  }
  edit.SetLimit(id, budget.limit.limit, now);
  const Budget* const stored = BudgetIn(edit.record(), id);
  const Tokens draw =
      stored == nullptr || target == 0
          ? 0
          : std::min(target - unallocated, std::max<Tokens>(0, stored->free()));
  if (draw > 0 && edit.Draw(id, grant, self_, draw)) {
    edit.ListAgents(id, grant, {self_});
  }
  const Grant* const own = OwnGrant(edit.record(), id);
  if (own != nullptr && own->amount != amount_before) {
    edit.NumberGrant(id, grant, ++last_grant_revision_);
  }
}

template <typename Done>
void MeteredBudgetManager::State::OnDone(base::Millis now, const Done& done) {
  if (promises_.Finish(now, done) || era_marker_.Finish(now, done)) {
    return;
  }
  const cas::Progress layout = layout_.Finish(done);
  if (layout != cas::Progress::kUnrelated) {
    if (layout == cas::Progress::kFailed) {
      layout_retry_at_ = now + policy_.failure_backoff;
    }
    return;
  }
  for (Shard& shard : shards_) {
    const bool was_write = shard.view.is_writing();
    const cas::Progress progress = shard.view.Finish(done);
    if (progress == cas::Progress::kUnrelated) {
      continue;
    }
    shard.is_kv_answering = progress != cas::Progress::kFailed;
    shard.has_new_bounds = true;
    if (progress == cas::Progress::kFailed) {
      ++shard.failures;
      shard.retry_at = now + FailureBackoff(policy_, shard.failures);
      return;
    }
    shard.failures = 0;
    if (progress == cas::Progress::kConflict) {
      // Short and randomised, so that the losers collide neither with each
      // other nor with a winner that continues to write. A router that does not
      // know the current configuration yet loses each race until it does.
      shard.retry_at =
          now + (shard.lost_races < kMaxCountedRaces ? RaceBackoff(shard)
                                                     : policy_.failure_backoff);
      shard.last_write_at = base::Millis();
      shard.lost_races = std::min(shard.lost_races + 1, kMaxCountedRaces);
    } else if (was_write) {
      shard.lost_races = 0;
      for (GrantClosed& closed : shard.closing) {
        outbox_.push_back(std::move(closed));
      }
      shard.closing.clear();
      for (BudgetMerged& merged : shard.merging) {
        outbox_.push_back(std::move(merged));
      }
      shard.merging.clear();
    }
    return;
  }
}

base::Millis MeteredBudgetManager::State::RaceBackoff(
    const Shard& shard) const {
  const std::string seed =
      self_.value() + std::to_string(now_.count() + shard.lost_races);
  const auto most = static_cast<uint64_t>(policy_.race_backoff.count());
  return base::Millis(
      static_cast<int64_t>(base::Digest::Of(seed).low() % (most + 1)));
}

template void MeteredBudgetManager::State::OnDone(base::Millis,
                                                  const platform::KvReadDone&);
template void MeteredBudgetManager::State::OnDone(base::Millis,
                                                  const platform::KvWriteDone&);

}  // namespace godwit::ledger
