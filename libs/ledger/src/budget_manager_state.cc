#include "budget_manager_state.h"

#include <algorithm>
#include <string>

namespace godwit::ledger {
namespace {

// A write that takes longer counts as unanswered. The timeout of reads is
// shorter, because an answer that arrives too late for a waiting reservation is
// useless.
constexpr base::Millis kWriteTimeout = base::Seconds(10);
// Pause after an operation without a useful answer of the KV.
constexpr base::Millis kRetryPause(100);
// A budget is near its end when less than 1/kNearEndDivisor of its limit
// remains.
constexpr base::Tokens kNearEndDivisor = 10;
// It is also near its end when less than 1/kScarceDivisor of what remains is
// free.
constexpr base::Tokens kScarceDivisor = 8;

}  // namespace

BudgetManager::State::State(const base::Incarnation& self,
                            BudgetManagerPolicy policy)
    : self_(self),
      policy_(policy),
      planner_(self, policy),
      recovery_(self, policy.seal_retry_interval) {
  shards_.reserve(static_cast<size_t>(policy.shard_count));
  for (int i = 0; i < policy.shard_count; ++i) {
    shards_.emplace_back(ShardKey(i));
    // Distributes the scans over their period.
    shards_.back().scan_at =
        base::Millis(policy.scan_period.count() * i / policy.shard_count);
  }
}

std::vector<BudgetManagerCommand> BudgetManager::State::Step(
    base::Millis now,
    const BudgetManagerEvent& event) {
  now_ = now;
  commands_.clear();
  std::visit([this](const auto& e) { On(e); }, event);
  ReportDrained();
  return std::move(commands_);
}

void BudgetManager::State::On(const RunStarted& event) {
  const auto found = reservations_.find(event.attempt);
  if (found != reservations_.end()) {
    found->second.agent = event.agent;
  }
}

void BudgetManager::State::On(const RunSettled& event) {
  const auto found = reservations_.find(event.attempt);
  if (found == reservations_.end()) {
    return;
  }
  const Reservation reservation = std::move(found->second);
  reservations_.erase(found);
  HeldGrant* const grant = GrantOf(reservation.budget, reservation.grant);
  if (grant == nullptr) {
    return;
  }
  const base::Tokens billed =
      std::clamp<base::Tokens>(event.billed, 0, reservation.amount);
  grant->reserved -= reservation.amount;
  grant->billed[event.agent] += billed;
  LocalBudget& local = BudgetOf(reservation.budget);
  local.burn.Add(now_, billed);
  local.used_at = now_;
  OnTokensFreed(local);
}

void BudgetManager::State::On(const RunReleased& event) {
  const auto found = reservations_.find(event.attempt);
  if (found == reservations_.end()) {
    return;
  }
  const Reservation reservation = std::move(found->second);
  reservations_.erase(found);
  HeldGrant* const grant = GrantOf(reservation.budget, reservation.grant);
  if (grant == nullptr) {
    return;
  }
  grant->reserved -= reservation.amount;
  LocalBudget& local = BudgetOf(reservation.budget);
  OnTokensFreed(local);
}

void BudgetManager::State::OnTokensFreed(LocalBudget& local) {
  Shard& shard = ShardOfBudget(local);
  const Budget* const budget = shard.view.budget(local.id);
  const bool is_requested = budget != nullptr && !budget->wants.empty();
  shard.has_deferred_changes = true;
  shard.has_changes = shard.has_changes || is_requested;
  ServeWaiting(local);
  StartOperationIfDue(shard);
}

void BudgetManager::State::On(const AgentsChanged& event) {
  usable_ = event.usable;
  for (Shard& shard : shards_) {
    shard.has_changes = shard.has_changes || !shard.budgets.empty();
    StartOperationIfDue(shard);
  }
}

void BudgetManager::State::On(const AgentRemoved& event) {
  if (recovery_.IsRemoved(event.agent)) {
    return;
  }
  recovery_.AddRemoved(event.agent);
  for (auto it = reservations_.begin(); it != reservations_.end();) {
    const Reservation& reservation = it->second;
    if (reservation.agent != event.agent) {
      ++it;
      continue;
    }
    HeldGrant* const grant = GrantOf(reservation.budget, reservation.grant);
    if (grant != nullptr) {
      grant->unaccounted[event.agent] += reservation.amount;
    }
    it = reservations_.erase(it);
  }
  for (Shard& shard : shards_) {
    shard.has_changes = true;
    StartOperationIfDue(shard);
  }
}

void BudgetManager::State::On(const AgentsListed& event) {
  std::vector<const LedgerRecord*> records;
  records.reserve(shards_.size());
  for (const Shard& shard : shards_) {
    records.push_back(&shard.view.record());
  }
  for (const auto& agent : recovery_.FindDropped(records, event.agents)) {
    On(AgentRemoved{agent});
  }
}

void BudgetManager::State::On(const AgentUsageReported& event) {
  recovery_.AddReport(event);
  for (Shard& shard : shards_) {
    for (const auto& [id, budget] : shard.view.record().budgets) {
      if (budget.grants.count(event.grant) != 0) {
        shard.has_changes = true;
      }
    }
    StartOperationIfDue(shard);
  }
}

void BudgetManager::State::On(const LiveHoldersListed& event) {
  live_routers_ = event.holders.size();
  for (Shard& shard : shards_) {
    recovery_.UpdateLost(shard.view.record(), event.holders);
    shard.has_changes = true;
    StartOperationIfDue(shard);
  }
}

void BudgetManager::State::On(const DrainRequested&) {
  draining_ = true;
  for (auto& [id, local] : budgets_) {
    ServeWaiting(local);
  }
  for (Shard& shard : shards_) {
    shard.has_changes = true;
    StartOperationIfDue(shard);
  }
}

void BudgetManager::State::On(const Tick&) {
  AbandonOverdueOperations();
  for (auto& [id, local] : budgets_) {
    if (!local.waiting.empty()) {
      ServeWaiting(local);
    }
  }
  for (Shard& shard : shards_) {
    recovery_.RequestReports(now_, shard.view.record(), commands_);
    StartOperationIfDue(shard);
  }
}

void BudgetManager::State::AbandonOverdueOperations() {
  for (auto it = operations_.begin(); it != operations_.end();) {
    Shard& shard = shards_[it->second];
    const auto busy_since = shard.view.busy_since();
    const base::Millis timeout =
        shard.view.is_writing() ? kWriteTimeout : policy_.max_wait;
    if (busy_since && now_ - *busy_since <= timeout) {
      ++it;
      continue;
    }
    shard.view.Abandon();
    shard.has_changes = true;
    kv_failing_since_ = kv_failing_since_.value_or(now_);
    it = operations_.erase(it);
  }
}

void BudgetManager::State::On(const platform::KvReadDone& event) {
  OnDone(event);
}

void BudgetManager::State::On(const platform::KvWriteDone& event) {
  OnDone(event);
}

template <typename Done>
void BudgetManager::State::OnDone(const Done& done) {
  const auto owner = operations_.find(done.operation);
  if (owner == operations_.end()) {
    return;
  }
  Shard& shard = shards_[owner->second];
  operations_.erase(owner);
  const LedgerRecord before = shard.view.record();
  switch (shard.view.Finish(done)) {
    case cas::Progress::kUnrelated:
      return;
    case cas::Progress::kAdopted:
      kv_failing_since_.reset();
      OnRecordAdopted(shard, before);
      break;
    case cas::Progress::kConflict:
      kv_failing_since_.reset();
      // The KV may have returned the record that won.
      if (!shard.view.outdated()) {
        OnRecordAdopted(shard, before);
      }
      break;
    case cas::Progress::kFailed:
      kv_failing_since_ = kv_failing_since_.value_or(now_);
      shard.retry_at = now_ + kRetryPause;
      break;
  }
  shard.has_changes = true;
  for (const auto& id : shard.budgets) {
    ServeWaiting(budgets_.at(id));
  }
  StartOperationIfDue(shard);
}

void BudgetManager::State::OnRecordAdopted(Shard& shard,
                                           const LedgerRecord& before) {
  ForgetClosed(before, shard.view.record());
  for (const auto& id : shard.budgets) {
    SyncGrant(shard, budgets_.at(id));
  }
}

void BudgetManager::State::ForgetClosed(const LedgerRecord& before,
                                        const LedgerRecord& after) {
  for (const auto& [budget_id, budget] : before.budgets) {
    const auto kept = after.budgets.find(budget_id);
    for (const auto& [id, grant] : budget.grants) {
      if (kept != after.budgets.end() && kept->second.grants.count(id) != 0) {
        continue;
      }
      recovery_.Forget(id);
      for (const auto& [agent, account] : grant.agents) {
        commands_.emplace_back(SendForgetGrant{agent, id});
      }
    }
  }
}

void BudgetManager::State::SyncGrant(Shard& shard, LocalBudget& local) {
  if (!local.grant) {
    return;
  }
  const Budget* const budget = shard.view.budget(local.id);
  const Grant* stored = nullptr;
  if (budget != nullptr) {
    const auto found = budget->grants.find(local.grant->id);
    stored = found == budget->grants.end() ? nullptr : &found->second;
  }
  if (stored == nullptr) {
    // The grant was closed or never drawn.
    if (local.grant->stored || !shard.view.has_open_writes()) {
      grant_budgets_.erase(local.grant->id);
      local.grant.reset();
    }
    return;
  }
  if (stored->state == GrantState::kSealed) {
    grant_budgets_.erase(local.grant->id);
    local.grant.reset();
    return;
  }
  local.grant->stored = true;
  grant_budgets_[local.grant->id] = local.id;
  DropRemovedAgents(*stored, *local.grant);
}

void BudgetManager::State::DropRemovedAgents(const Grant& stored,
                                             HeldGrant& grant) {
  for (auto it = grant.billed.begin(); it != grant.billed.end();) {
    const bool removed = stored.agents.count(it->first) == 0;
    it = removed ? grant.billed.erase(it) : std::next(it);
  }
  for (auto it = grant.unaccounted.begin(); it != grant.unaccounted.end();) {
    if (stored.agents.count(it->first) != 0) {
      ++it;
      continue;
    }
    grant.reserved -= it->second;
    it = grant.unaccounted.erase(it);
  }
}

void BudgetManager::State::StartOperationIfDue(Shard& shard) {
  if (shard.view.busy_since() || now_ < shard.retry_at) {
    return;
  }
  const bool readable = shard.view.known() && !shard.view.outdated();
  if (readable && WriteIfDue(shard)) {
    return;
  }
  if (ReadIsDue(shard)) {
    const int64_t operation = next_operation_++;
    operations_[operation] = static_cast<size_t>(&shard - shards_.data());
    shard.scan_at = now_ + policy_.scan_period;
    commands_.emplace_back(shard.view.StartRead(now_, operation));
  }
}

bool BudgetManager::State::WriteIfDue(Shard& shard) {
  const base::Millis since = now_ - shard.last_write_at;
  const bool deferred_due = since >= policy_.settle_period;
  const bool due =
      shard.has_changes || (shard.has_deferred_changes && deferred_due);
  if (!due || since < policy_.min_write_interval) {
    return false;
  }
  LedgerEdit edit(shard.view.record());
  bool urgent = recovery_.Advance(edit);
  const EditPlanner::Context context{now_,      shard.view,    usable_,
                                     recovery_, live_routers_, draining_};
  for (const auto& id : shard.budgets) {
    urgent |= planner_.Plan(context, budgets_.at(id), edit);
  }
  // A write without changes determines whether an open write took effect.
  urgent |= shard.view.has_open_writes();
  shard.has_changes = false;
  shard.has_deferred_changes = edit.changed();
  if (!urgent && !(edit.changed() && deferred_due)) {
    return false;
  }
  const int64_t operation = next_operation_++;
  operations_[operation] = static_cast<size_t>(&shard - shards_.data());
  edit.SetWrite(base::WriteId(self_.value() + "/" + std::to_string(operation)));
  commands_.emplace_back(shard.view.StartWrite(now_, operation, edit.record()));
  shard.last_write_at = now_;
  return true;
}

bool BudgetManager::State::ReadIsDue(const Shard& shard) const {
  if (!shard.view.known() || shard.view.outdated()) {
    return shard.view.outdated() || !shard.budgets.empty() ||
           now_ >= shard.scan_at;
  }
  return now_ - shard.view.confirmed_at() >= PollPeriod(shard);
}

base::Millis BudgetManager::State::PollPeriod(const Shard& shard) const {
  base::Millis period = policy_.scan_period;
  for (const auto& id : shard.budgets) {
    const LocalBudget& local = budgets_.at(id);
    if (!local.waiting.empty()) {
      return policy_.wait_poll_interval;
    }
    const Budget* const budget = shard.view.budget(id);
    if (budget == nullptr || !local.grant) {
      continue;
    }
    const bool can_give = IsNearEnd(*budget) && Available(local) > 0;
    period = std::min(period, can_give ? policy_.recall_poll_interval
                                       : policy_.settle_period);
  }
  return period;
}

bool BudgetManager::State::IsNearEnd(const Budget& budget) const {
  const base::Tokens left = RemainingIn(budget);
  return left < policy_.near_end_tokens ||
         left < budget.limit / kNearEndDivisor ||
         budget.free() < left / kScarceDivisor;
}

bool BudgetManager::State::IsKvUnavailable(const Shard& shard) const {
  const auto busy_since = shard.view.busy_since();
  if (busy_since && now_ - *busy_since >= policy_.max_wait) {
    return true;
  }
  return kv_failing_since_ &&
         now_ - *kv_failing_since_ >= policy_.outage_timeout;
}

BudgetManager::State::Shard& BudgetManager::State::ShardOfBudget(
    const LocalBudget& local) {
  return shards_[static_cast<size_t>(local.shard)];
}

const BudgetManager::State::Shard& BudgetManager::State::ShardOfBudget(
    const LocalBudget& local) const {
  return shards_[static_cast<size_t>(local.shard)];
}

void BudgetManager::State::ReportDrained() {
  if (!draining_ || reported_drained_ || !reservations_.empty()) {
    return;
  }
  for (const auto& [id, local] : budgets_) {
    const bool has_grant = local.grant && local.grant->stored;
    if (has_grant || ShardOfBudget(local).view.has_open_writes()) {
      return;
    }
  }
  reported_drained_ = true;
  commands_.emplace_back(Drained{});
}

}  // namespace godwit::ledger
