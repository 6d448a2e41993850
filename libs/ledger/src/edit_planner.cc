#include "edit_planner.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace godwit::ledger {
namespace {

using base::Tokens;

// A grant is refilled when its free part falls below 1/kRefillDivisor of the
// target.
constexpr Tokens kRefillDivisor = 2;
// Below 1/kLowWaterDivisor of the target it is refilled without delay. It is
// reduced when it exceeds the target by more than 1/kSlackDivisor.
constexpr Tokens kLowWaterDivisor = 8;
constexpr Tokens kSlackDivisor = 4;
// No router sets aside more than 1/kMaxShareDivisor of the remaining tokens in
// advance.
constexpr Tokens kMaxShareDivisor = 2;
constexpr Tokens kPercent = 100;

const Budget& BudgetIn(const LedgerEdit& edit, const base::BudgetId& id) {
  return edit.record().budgets.at(id);
}

const Grant* GrantIn(const LedgerEdit& edit, const LocalBudget& local) {
  if (!local.grant) {
    return nullptr;
  }
  const Budget& budget = BudgetIn(edit, local.id);
  const auto found = budget.grants.find(local.grant->id);
  return found == budget.grants.end() ? nullptr : &found->second;
}

}  // namespace

Tokens RemainingIn(const Budget& budget) {
  return budget.limit - budget.held - budget.total_billed();
}

Tokens AvailableIn(const ShardView& view, const LocalBudget& local) {
  if (!local.grant) {
    return 0;
  }
  return view.ceiling(local.id, local.grant->id) - local.grant->committed();
}

bool EditPlanner::Plan(const Context& context,
                       LocalBudget& local,
                       LedgerEdit& edit) {
  if (edit.record().budgets.count(local.id) == 0) {
    return false;
  }
  SettleUsage(local, edit);
  RemoveLostAgents(context, local, edit);
  const bool unused = local.grant && local.grant->reserved == 0;
  const bool idle = local.waiting.empty() &&
                    context.now - local.used_at > policy_.idle_timeout;
  if (unused && (context.draining || idle) && GrantIn(edit, local) != nullptr) {
    return edit.ReturnGrant(local.id, local.grant->id);
  }
  bool urgent = false;
  if (!context.draining && !idle) {
    urgent |= local.waiting.empty() ? DrawAhead(context, local, edit)
                                    : DrawForWaiting(context, local, edit);
  }
  urgent |= ReturnForOthers(context, local, edit);
  ReturnExcess(context, local, edit);
  urgent |= ListUsable(context, local, edit);
  return urgent;
}

Tokens EditPlanner::Target(const Context& context,
                           const LocalBudget& local) const {
  const Budget* const budget = context.view.budget(local.id);
  if (budget == nullptr) {
    return 0;
  }
  const bool counted =
      local.grant && budget->grants.count(local.grant->id) != 0;
  const size_t holders = budget->grants.size() + (counted ? 0 : 1);
  const auto router_count =
      static_cast<Tokens>(std::max(holders, context.live_routers));
  const Tokens left = RemainingIn(*budget);
  const Tokens share = left / kPercent * policy_.share_percent / router_count;
  // A router that serves most of the load may hold more.
  const Tokens outage_need = local.burn.Over(context.now, policy_.outage_cover);
  return std::max(share, std::min(outage_need, left / kMaxShareDivisor));
}

void EditPlanner::SettleUsage(const LocalBudget& local,
                              LedgerEdit& edit) const {
  if (GrantIn(edit, local) == nullptr) {
    return;
  }
  for (const auto& [agent, billed] : local.grant->billed) {
    edit.Settle(local.id, local.grant->id, agent, billed);
  }
}

void EditPlanner::RemoveLostAgents(const Context& context,
                                   const LocalBudget& local,
                                   LedgerEdit& edit) const {
  const Grant* const stored = GrantIn(edit, local);
  if (stored == nullptr) {
    return;
  }
  std::vector<base::Incarnation> removed;
  for (const auto& [agent, account] : stored->agents) {
    if (context.recovery.IsRemoved(agent)) {
      removed.push_back(agent);
    }
  }
  for (const auto& agent : removed) {
    const auto lost = local.grant->unaccounted.find(agent);
    const Tokens unaccounted =
        lost == local.grant->unaccounted.end() ? 0 : lost->second;
    edit.RemoveAgent(local.id, local.grant->id, agent, unaccounted);
  }
}

bool EditPlanner::DrawForWaiting(const Context& context,
                                 LocalBudget& local,
                                 LedgerEdit& edit) {
  const Tokens available = AvailableIn(context.view, local);
  const Tokens free = BudgetIn(edit, local.id).free();
  Tokens smallest = local.waiting.front().request.amount;
  Tokens sum = 0;
  for (const auto& waiting : local.waiting) {
    smallest = std::min(smallest, waiting.request.amount);
    sum += std::min(waiting.request.amount, free + available - sum);
  }
  const Tokens shortfall = smallest - available;
  if (shortfall <= 0) {
    // The tokens suffice, but an agent has to be listed.
    return local.grant ? false : Draw(local, 0, edit);
  }
  if (shortfall > free) {
    return RequestRecall(local, shortfall, edit);
  }
  const Tokens spare = OthersShortfall(BudgetIn(edit, local.id)) > 0
                           ? 0
                           : std::max<Tokens>(0, Target(context, local));
  return Draw(local,
              std::min(free, std::max(shortfall, sum - available) + spare),
              edit);
}

bool EditPlanner::RequestRecall(const LocalBudget& local,
                                Tokens shortfall,
                                LedgerEdit& edit) const {
  const Budget& budget = BudgetIn(edit, local.id);
  const auto entry = budget.wants.find(self_);
  if (entry != budget.wants.end() && entry->second >= shortfall) {
    return false;
  }
  return edit.SetShortfall(local.id, self_, shortfall);
}

bool EditPlanner::DrawAhead(const Context& context,
                            LocalBudget& local,
                            LedgerEdit& edit) {
  edit.SetShortfall(local.id, self_, 0);
  const Budget& budget = BudgetIn(edit, local.id);
  const Tokens unrequested = budget.free() - OthersShortfall(budget);
  const Tokens available = AvailableIn(context.view, local);
  const Tokens target = Target(context, local);
  local.low_water = target / kLowWaterDivisor;
  if (!local.grant || available >= target / kRefillDivisor ||
      unrequested <= 0) {
    return false;
  }
  Draw(local, std::min(unrequested, target - available), edit);
  return available < local.low_water;
}

bool EditPlanner::Draw(LocalBudget& local, Tokens amount, LedgerEdit& edit) {
  if (!local.grant) {
    local.grant.emplace();
    local.grant->id =
        base::GrantId(self_.value() + "/" + std::to_string(next_grant_++));
  }
  edit.SetShortfall(local.id, self_, 0);
  return edit.Draw(local.id, local.grant->id, self_, amount);
}

bool EditPlanner::ReturnForOthers(const Context& context,
                                  const LocalBudget& local,
                                  LedgerEdit& edit) const {
  if (GrantIn(edit, local) == nullptr) {
    return false;
  }
  const Budget& budget = BudgetIn(edit, local.id);
  const Tokens others_shortfall =
      std::max<Tokens>(0, PriorShortfall(budget, local) - budget.free());
  const Tokens spare = AvailableIn(context.view, local);
  const Tokens returned = std::min(others_shortfall, spare);
  return returned > 0 && edit.Shrink(local.id, local.grant->id, returned);
}

void EditPlanner::ReturnExcess(const Context& context,
                               const LocalBudget& local,
                               LedgerEdit& edit) const {
  const Grant* const stored = GrantIn(edit, local);
  if (stored == nullptr || !local.waiting.empty()) {
    return;
  }
  const Tokens target = Target(context, local);
  // Takes into account what this edit already draws or returns.
  const Tokens planned = std::min(stored->amount - local.grant->committed(),
                                  AvailableIn(context.view, local));
  const Tokens excess = planned - target;
  if (excess > target / kSlackDivisor && excess > 0) {
    edit.Shrink(local.id, local.grant->id, excess);
  }
}

bool EditPlanner::ListUsable(const Context& context,
                             const LocalBudget& local,
                             LedgerEdit& edit) const {
  const Grant* const stored = GrantIn(edit, local);
  if (stored == nullptr || stored->state != GrantState::kActive) {
    return false;
  }
  std::vector<base::Incarnation> missing;
  for (const auto& agent : context.usable) {
    if (stored->agents.count(agent) == 0 &&
        !context.recovery.IsRemoved(agent)) {
      missing.push_back(agent);
    }
  }
  if (missing.empty()) {
    return false;
  }
  return edit.ListAgents(local.id, local.grant->id, missing);
}

Tokens EditPlanner::OthersShortfall(const Budget& budget) const {
  Tokens sum = 0;
  for (const auto& [holder, amount] : budget.wants) {
    if (holder != self_) {
      sum += std::min(amount, budget.limit - sum);
    }
  }
  return sum;
}

Tokens EditPlanner::PriorShortfall(const Budget& budget,
                                   const LocalBudget& local) const {
  if (local.waiting.empty()) {
    return OthersShortfall(budget);
  }
  // Among routers that are short of tokens, the one with the smallest shortfall
  // is served first, so that they do not pass the remaining tokens back and
  // forth and most requests are served.
  const auto entry = budget.wants.find(self_);
  const Tokens own = entry == budget.wants.end() ? 0 : entry->second;
  Tokens sum = 0;
  for (const auto& [holder, amount] : budget.wants) {
    if (std::tie(amount, holder) < std::tie(own, self_)) {
      sum += std::min(amount, budget.limit - sum);
    }
  }
  return sum;
}

}  // namespace godwit::ledger
