#include <algorithm>
#include <string>

#include "budget_manager_state.h"

namespace godwit::ledger {

using base::Error;
using base::ErrorKind;
using base::Tokens;

LocalBudget& BudgetManager::State::BudgetOf(const base::BudgetId& id) {
  const auto found = budgets_.find(id);
  if (found != budgets_.end()) {
    return found->second;
  }
  const int shard = ShardOf(id, policy_.shard_count);
  shards_[static_cast<size_t>(shard)].budgets.insert(id);
  return budgets_.emplace(id, LocalBudget(id, shard, policy_.burn_half_life))
      .first->second;
}

HeldGrant* BudgetManager::State::GrantOf(const base::BudgetId& budget,
                                         const base::GrantId& grant) {
  const auto found = budgets_.find(budget);
  if (found == budgets_.end() || !found->second.grant ||
      found->second.grant->id != grant) {
    return nullptr;
  }
  return &*found->second.grant;
}

Tokens BudgetManager::State::Available(const LocalBudget& local) const {
  return AvailableIn(ShardOfBudget(local).view, local);
}

Tokens BudgetManager::State::available(const base::BudgetId& budget) const {
  const auto found = budgets_.find(budget);
  return found == budgets_.end()
             ? 0
             : std::max<Tokens>(0, Available(found->second));
}

bool BudgetManager::State::MaySpendAt(const base::GrantId& grant,
                                      const base::Incarnation& agent) const {
  const auto owner = grant_budgets_.find(grant);
  if (owner == grant_budgets_.end() || recovery_.IsRemoved(agent)) {
    return false;
  }
  const LocalBudget& local = budgets_.at(owner->second);
  const Shard& shard = ShardOfBudget(local);
  return shard.view.lists(owner->second, grant, agent);
}

void BudgetManager::State::On(const ReserveRequested& event) {
  const LocalBudget::Waiting waiting{
      event, std::min(event.expires, now_ + policy_.max_wait), now_};
  if (event.amount < 0) {
    commands_.emplace_back(ReserveRefused{
        event.attempt,
        Error(ErrorKind::kInvalidArgument, "a reservation can't be negative",
              "ask for 0 or more tokens"),
        base::Millis()});
    return;
  }
  LocalBudget& local = BudgetOf(event.budget);
  local.used_at = now_;
  local.waiting.push_back(waiting);
  Shard& shard = ShardOfBudget(local);
  ServeWaiting(local);
  shard.has_changes = shard.has_changes || !local.waiting.empty();
  StartOperationIfDue(shard);
}

bool BudgetManager::State::HasUsableAgent(
    const LocalBudget& local,
    const ReserveRequested& request) const {
  const auto may_spend = [&](const base::Incarnation& agent) {
    return usable_.count(agent) != 0 && MaySpendAt(local.grant->id, agent);
  };
  if (request.agents.empty()) {
    return std::any_of(usable_.begin(), usable_.end(), may_spend);
  }
  return std::any_of(request.agents.begin(), request.agents.end(), may_spend);
}

bool BudgetManager::State::TryReserve(LocalBudget& local,
                                      const ReserveRequested& request) {
  if (!local.grant || draining_ || Available(local) < request.amount ||
      !HasUsableAgent(local, request)) {
    return false;
  }
  local.grant->reserved += request.amount;
  reservations_[request.attempt] = Reservation{request.budget, local.grant->id,
                                               request.amount, std::nullopt};
  commands_.emplace_back(ReserveGranted{request.attempt, local.grant->id});
  Shard& shard = ShardOfBudget(local);
  shard.has_deferred_changes = true;
  shard.has_changes = shard.has_changes || Available(local) < local.low_water;
  return true;
}

void BudgetManager::State::ServeWaiting(LocalBudget& local) {
  for (auto it = local.waiting.begin(); it != local.waiting.end();) {
    if (TryReserve(local, it->request)) {
      it = local.waiting.erase(it);
      continue;
    }
    auto refused = FindRefusal(local, *it);
    if (!refused) {
      ++it;
      continue;
    }
    commands_.emplace_back(std::move(*refused));
    it = local.waiting.erase(it);
    // The router's recorded shortfall has to be removed.
    ShardOfBudget(local).has_changes = true;
  }
}

std::optional<ReserveRefused> BudgetManager::State::FindRefusal(
    const LocalBudget& local,
    const LocalBudget::Waiting& waiting) {
  const Shard& shard = ShardOfBudget(local);
  const base::AttemptId& attempt = waiting.request.attempt;
  if (draining_) {
    return ReserveRefused{
        attempt,
        Error(ErrorKind::kLeaving, "the router is leaving", "ask another one"),
        policy_.retry_after};
  }
  if (usable_.empty()) {
    return ReserveRefused{
        attempt,
        Error(ErrorKind::kUnavailable, "no agent is linked to this router",
              "send the request again later"),
        policy_.retry_after};
  }
  if (shard.view.corrupt()) {
    return ReserveRefused{attempt,
                          Error(ErrorKind::kCorrupt,
                                "the ledger record of budget " +
                                    local.id.value() + " can't be read",
                                "ask the operator to restore it"),
                          policy_.retry_after};
  }
  const bool in_time = now_ < waiting.deadline;
  const bool may_settle =
      local.grant &&
      Available(local) + local.grant->reserved >= waiting.request.amount;
  if (!in_time || (IsKvUnavailable(shard) && !may_settle)) {
    return TimeoutRefusal(local, waiting);
  }
  const bool fresh = shard.view.known() && !shard.view.outdated() &&
                     now_ - shard.view.confirmed_at() <= policy_.max_record_age;
  if (!fresh) {
    return std::nullopt;
  }
  const Budget* const budget = shard.view.budget(local.id);
  if (budget == nullptr) {
    if (shard.view.confirmed_at() < waiting.since) {
      // It may have been created since the record was read.
      return std::nullopt;
    }
    return ReserveRefused{
        attempt,
        Error(ErrorKind::kNotFound, "there is no budget " + local.id.value(),
              "ask the operator to create it"),
        base::Millis()};
  }
  return ExhaustedRefusal(local, *budget, waiting);
}

std::optional<ReserveRefused> BudgetManager::State::ExhaustedRefusal(
    const LocalBudget& local,
    const Budget& budget,
    const LocalBudget::Waiting& waiting) const {
  Tokens left = budget.limit - budget.held - budget.total_billed();
  if (local.grant) {
    const auto stored = budget.grants.find(local.grant->id);
    for (const auto& [agent, billed] : local.grant->billed) {
      Tokens counted = 0;
      if (stored != budget.grants.end()) {
        const auto account = stored->second.agents.find(agent);
        counted =
            account == stored->second.agents.end() ? 0 : account->second.billed;
      }
      left -= billed - counted;
    }
  }
  if (left >= waiting.request.amount) {
    return std::nullopt;
  }
  return ReserveRefused{
      waiting.request.attempt,
      Error(ErrorKind::kBudgetExhausted,
            "budget " + local.id.value() + " has " + std::to_string(left) +
                " tokens left, the request may take " +
                std::to_string(waiting.request.amount),
            "top up the budget or lower the output cap"),
      base::Millis()};
}

ReserveRefused BudgetManager::State::TimeoutRefusal(
    const LocalBudget& local,
    const LocalBudget::Waiting& waiting) const {
  const Shard& shard = ShardOfBudget(local);
  const bool answered = shard.view.known() && !IsKvUnavailable(shard) &&
                        now_ - shard.view.confirmed_at() <= policy_.max_wait;
  std::string message =
      answered ? "what is left of budget " + local.id.value() +
                     " is set aside for requests in progress"
               : "the ledger can't be reached and this router holds too "
                 "little of budget " +
                     local.id.value();
  return ReserveRefused{waiting.request.attempt,
                        Error(ErrorKind::kBudgetUnavailable, std::move(message),
                              "send the request again later"),
                        policy_.retry_after};
}

}  // namespace godwit::ledger
