// Grants of earlier incarnations of this process, which have terminated.
#include <algorithm>
#include <iterator>

#include "metered_state.h"

namespace godwit::ledger {

using base::Tokens;

bool MeteredBudgetManager::State::IsEarlierIncarnation(
    const base::Incarnation& holder) const {
  const std::string prefix = process_.value() + ".";
  return holder != self_ &&
         holder.value().compare(0, prefix.size(), prefix) == 0;
}

bool MeteredBudgetManager::State::HasEarlierGrant(const base::BudgetId& budget,
                                                  const Budget* stored) const {
  if (LostGrant(budget, stored)) {
    return true;
  }
  return stored != nullptr &&
         std::any_of(stored->grants.begin(), stored->grants.end(),
                     [this](const auto& entry) {
                       return entry.second.state == GrantState::kActive &&
                              IsEarlierIncarnation(entry.second.holder);
                     });
}

void MeteredBudgetManager::State::SettleEarlierGrants(Shard& shard) {
  if (shard.settled_version == shard.view.version()) {
    return;
  }
  shard.settled_version = shard.view.version();
  for (MeteredBudget* const budget : shard.budgets) {
    const base::BudgetId& id = budget->limit.budget;
    const Budget* const stored = BudgetIn(shard.view.record(), id);
    if (!HasEarlierGrant(id, stored)) {
      budget->is_earlier_settled = true;
    }
  }
}

std::optional<base::GrantId> MeteredBudgetManager::State::LostGrant(
    const base::BudgetId& budget,
    const Budget* stored) const {
  const MeteredBudget* const local = Find(budget);
  const auto holder = promises_.HolderOfLostGrant(budget);
  if (!holder || local == nullptr || local->is_earlier_settled) {
    return std::nullopt;
  }
  const base::GrantId id = GrantOf(*holder, budget);
  const bool is_stored = stored != nullptr && stored->grants.count(id) != 0;
  return is_stored ? std::nullopt : std::make_optional(id);
}

void MeteredBudgetManager::State::FoldOldGrants(
    base::Millis now,
    Shard& shard,
    LedgerEdit& edit,
    const base::BudgetId& budget) const {
  const Budget* const stored = BudgetIn(shard.view.record(), budget);
  if (stored == nullptr) {
    return;
  }
  auto& retired_since = shard.retired_since[budget];
  bool is_any_due = false;
  for (const auto& [id, grant] : stored->grants) {
    const bool is_unfolded = grant.closure != GrantClosure::kNone &&
                             grant.closure != GrantClosure::kFolded;
    if (is_unfolded) {
      const auto since = retired_since.try_emplace(id, now).first->second;
      is_any_due |= now - since >= policy_.retired_grant_retention;
    }
  }
  if (!is_any_due) {
    return;
  }
  edit.FoldRetired(budget, [&](const base::GrantId& id) {
    const auto since = retired_since.find(id);
    return since != retired_since.end() &&
           now - since->second >= policy_.retired_grant_retention;
  });
  for (auto entry = retired_since.begin(); entry != retired_since.end();) {
    const bool is_folded = stored->grants.count(entry->first) == 0;
    entry = is_folded ? retired_since.erase(entry) : std::next(entry);
  }
}

Tokens MeteredBudgetManager::State::AmountOf(
    const Grant& grant,
    const base::BudgetId& budget) const {
  const GrantBound stated = promises_.GrantedTo(grant.holder, budget);
  // The ledger may lack what the holder knew of an earlier era.
  return grant.revision > stated.revision
             ? grant.amount
             : std::max(grant.amount, stated.amount);
}

// Their usage is in the record or, if it is known how long they can have lived,
// at most what they had promised for that time. Otherwise the full grant may
// have been used.
std::vector<GrantClosed> MeteredBudgetManager::State::CloseEarlierGrants(
    base::Millis now,
    LedgerEdit& edit,
    const base::BudgetId& budget) {
  std::vector<GrantClosed> closed;
  if (const auto lost = LostGrant(budget, BudgetIn(edit.record(), budget))) {
    const base::Incarnation holder = *promises_.HolderOfLostGrant(budget);
    if (edit.Draw(budget, *lost, holder, 0)) {
      edit.ListAgents(budget, *lost, {holder});
    }
  }
  const Budget* const stored = BudgetIn(edit.record(), budget);
  if (stored == nullptr) {
    return closed;
  }
  const auto lifetime = EarlierLifetime(now).at_most;
  const auto grants = stored->grants;
  for (const auto& [id, grant] : grants) {
    if (grant.state != GrantState::kActive ||
        !IsEarlierIncarnation(grant.holder)) {
      continue;
    }
    std::optional<Tokens> most;
    if (lifetime) {
      most = promises_.MaxSpentBy(grant.holder, budget, *lifetime);
    }
    Tokens bound = AmountOf(grant, budget);
    if (most) {
      bound = promises_.MayHaveLostDraws() ? *most : std::min(*most, bound);
    }
    const Tokens counted = std::max(grant.billed(), bound);
    edit.Retire(budget, id, counted,
                most ? GrantClosure::kBounded : GrantClosure::kWhole);
    closed.push_back(
        {budget, grant.holder, grant.amount, grant.billed(),
         promises_.Explain(budget, most.has_value(), grant.billed(), counted),
         most ? lifetime : std::nullopt});
  }
  return closed;
}

}  // namespace godwit::ledger
