// What a MeteredBudgetManager reports of its budgets, for logs and metrics.
#include <algorithm>
#include <string>

#include "metered_state.h"

namespace godwit::ledger {

std::vector<BudgetReport> MeteredBudgetManager::Reports() const {
  std::vector<BudgetReport> reports;
  reports.reserve(state_->budgets_.size());
  for (const auto& [id, budget] : state_->budgets_) {
    reports.push_back(state_->Report(budget));
  }
  return reports;
}

BudgetReport MeteredBudgetManager::State::Report(
    const MeteredBudget& budget) const {
  const Shard& shard = ShardOfBudget(budget);
  const Budget* const stored = BudgetIn(shard.record(), budget.limit.budget);
  BudgetReport report;
  report.budget = budget.limit.budget;
  report.is_lender = IsLender(shard);
  report.is_scarce = IsScarce(now_, budget);
  report.held =
      Unallocated(budget) + budget.ReservedOfGrant() + budget.borrowed.free();
  report.lent = loans_.Outstanding(budget.limit.budget);
  if (report.is_lender && stored != nullptr) {
    report.free = std::max<base::Tokens>(0, stored->free());
    const BudgetSums sums = BudgetSums::Of(*stored);
    const Grant* const own = OwnGrant(shard.record(), report.budget);
    const base::Tokens own_billed = own == nullptr ? 0 : own->billed();
    const base::Tokens billed_elsewhere = sums.open_billed - own_billed;
    report.in_doubt = sums.closed_held + budget.unproven;
    report.delivered =
        sums.closed_billed + billed_elsewhere + budget.spent - budget.unproven;
    // What a write in flight gives back counts as elsewhere.
    report.elsewhere = sums.open_amount - Granted(budget) - billed_elsewhere;
  }
  report.refusals = budget.refusals;
  return report;
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
