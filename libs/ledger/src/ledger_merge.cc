#include "ledger_merge.h"

#include <algorithm>

#include "ledger/ledger_edit.h"

namespace godwit::ledger {
namespace {

void MergeGrant(Grant& stored, const Grant& known) {
  stored.holder = known.holder;
  stored.amount = std::max(stored.amount, known.amount);
  for (const auto& [agent, account] : known.agents) {
    AgentAccount& into = stored.agents[agent];
    into.billed = std::max(into.billed, account.billed);
  }
  stored.amount = std::max(stored.amount, stored.billed());
}

void MergeBudget(Budget& stored, const Budget& known) {
  stored.organisation = known.organisation;
  stored.billed = std::max(stored.billed, known.billed);
  stored.held = std::max(stored.held, known.held);
  for (const auto& [id, grant] : known.grants) {
    MergeGrant(stored.grants[id], grant);
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
