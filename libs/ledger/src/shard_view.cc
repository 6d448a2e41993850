#include "shard_view.h"

#include <algorithm>
#include <limits>

namespace godwit::ledger {
namespace {

const Grant* FindActive(const LedgerRecord& record,
                        const base::BudgetId& budget,
                        const base::GrantId& grant) {
  const auto owner = record.budgets.find(budget);
  if (owner == record.budgets.end()) {
    return nullptr;
  }
  const auto found = owner->second.grants.find(grant);
  if (found == owner->second.grants.end() ||
      found->second.state != GrantState::kActive) {
    return nullptr;
  }
  return &found->second;
}

}  // namespace

const Budget* ShardView::budget(const base::BudgetId& id) const {
  const auto found = record().budgets.find(id);
  return found == record().budgets.end() ? nullptr : &found->second;
}

base::Tokens ShardView::ceiling(const base::BudgetId& budget,
                                const base::GrantId& grant) const {
  base::Tokens least = std::numeric_limits<base::Tokens>::max();
  const bool active = HoldsForAllVersions([&](const LedgerRecord& version) {
    const Grant* const found = FindActive(version, budget, grant);
    least = std::min(least, found == nullptr ? 0 : found->amount);
    return found != nullptr;
  });
  return active ? least : 0;
}

bool ShardView::lists(const base::BudgetId& budget,
                      const base::GrantId& grant,
                      const base::Incarnation& agent) const {
  return HoldsForAllVersions([&](const LedgerRecord& version) {
    const Grant* const found = FindActive(version, budget, grant);
    return found != nullptr && found->agents.count(agent) != 0;
  });
}

}  // namespace godwit::ledger
