#include "ledger_merge.h"

#include <algorithm>

#include "ledger/ledger_edit.h"
#include "retired_grants.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

// True if the grant's holder can't have used more than its amount, whatever
// other records state.
bool IsBounded(const Grant& grant) {
  return grant.closure == GrantClosure::kBounded ||
         grant.closure == GrantClosure::kFolded;
}

Tokens MergedAmount(const Grant& a, const Grant& b) {
  if (IsBounded(a) != IsBounded(b)) {
    return IsBounded(a) ? a.amount : b.amount;
  }
  if (a.closure == GrantClosure::kFolded) {
    if (a.sequence != b.sequence) {
      return a.sequence > b.sequence ? a.amount : b.amount;
    }
    return std::max(a.amount, b.amount);
  }
  if (IsBounded(a)) {
    return std::min(a.amount, b.amount);
  }
  const bool are_ordered =
      a.revision > 0 && b.revision > 0 && a.revision != b.revision;
  if (are_ordered) {
    return a.revision > b.revision ? a.amount : b.amount;
  }
  return std::max(a.amount, b.amount);
}

Grant MergedGrant(const Grant& a, const Grant& b) {
  Grant merged = a;
  merged.state = std::max(a.state, b.state);
  merged.closure = std::max(a.closure, b.closure);
  merged.sequence = std::max(a.sequence, b.sequence);
  // A grant that an earlier version wrote has no revision, and no order.
  merged.revision = std::min(a.revision, b.revision) == 0
                        ? 0
                        : std::max(a.revision, b.revision);
  for (const auto& [agent, account] : b.agents) {
    AgentAccount& into = merged.agents[agent];
    into.billed = std::max(into.billed, account.billed);
    into.state = std::max(into.state, account.state);
  }
  merged.amount = std::max(MergedAmount(a, b), merged.billed());
  if (merged.closure != GrantClosure::kNone) {
    merged.FinishAccounts();
  }
  return merged;
}

void MergeBudget(Budget& stored, Budget known) {
  for (const auto& process : RetiredGrants::FoldedProcesses(known)) {
    RetiredGrants(stored, process).RemoveFoldedIn(known);
  }
  for (const auto& process : RetiredGrants::FoldedProcesses(stored)) {
    RetiredGrants(known, process).RemoveFoldedIn(stored);
  }
  stored.organisation = known.organisation;
  // Usage of grants that routers of earlier versions closed: it is not known
  // which, so that nothing better than the larger sum can be said.
  stored.billed = std::max(stored.billed, known.billed);
  stored.held = std::max(stored.held, known.held);
  for (const auto& [id, grant] : known.grants) {
    const auto [entry, is_new] = stored.grants.try_emplace(id, grant);
    if (!is_new) {
      entry->second = MergedGrant(entry->second, grant);
    }
  }
}

}  // namespace

LedgerRecord MergeRecords(const LedgerRecord& stored,
                          const LedgerRecord& known) {
  LedgerRecord merged = stored;
  for (const auto& [id, budget] : known.budgets) {
    MergeBudget(merged.budgets[id], budget);
  }
  LedgerEdit edit(std::move(merged));
  for (const auto& [id, budget] : known.budgets) {
    const auto found = stored.budgets.find(id);
    const Budget& limiting =
        found == stored.budgets.end() ? budget : found->second;
    edit.SetLimit(id, limiting.limit, base::Millis());
  }
  return edit.record();
}

}  // namespace godwit::ledger
