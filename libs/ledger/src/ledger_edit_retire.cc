// LedgerEdit: grants of routers that meter usage themselves.
#include <set>

#include "ledger/ledger_edit.h"
#include "retired_grants.h"

namespace godwit::ledger {

bool LedgerEdit::NumberGrant(const base::BudgetId& budget,
                             const base::GrantId& grant,
                             int64_t revision) {
  Grant* const found = FindActive(budget, grant);
  if (found == nullptr) {
    return false;
  }
  if (found->sequence == 0) {
    found->sequence = RetiredGrants(*FindBudget(budget),
                                    RetiredGrants::ProcessOf(found->holder))
                          .NextSequence();
  }
  found->revision = revision;
  changed_ = true;
  return true;
}

bool LedgerEdit::Retire(const base::BudgetId& budget,
                        const base::GrantId& grant,
                        base::Tokens counted,
                        GrantClosure closure) {
  Grant* const found = FindGrant(budget, grant);
  if (found == nullptr) {
    return false;
  }
  if (found->closure != GrantClosure::kNone) {
    return true;
  }
  if (counted < found->billed()) {
    return Fail(base::ErrorKind::kInvalidArgument,
                "grant " + grant.value() + " is billed more than " +
                    std::to_string(counted) + " tokens",
                "count at least what is billed");
  }
  Budget& owner = *FindBudget(budget);
  RetiredGrants retired(owner, RetiredGrants::ProcessOf(found->holder));
  if (found->sequence == 0) {
    found->sequence = retired.NextSequence();
  }
  found->state = GrantState::kSealed;
  found->closure = closure;
  found->amount = counted;
  found->FinishAccounts();
  retired.FoldExcess();
  changed_ = true;
  return SetLimit(budget, owner.limit, base::Millis());
}

bool LedgerEdit::FoldRetired(
    const base::BudgetId& budget,
    const std::function<bool(const base::GrantId&)>& is_due) {
  Budget* const found = FindBudget(budget);
  if (found == nullptr) {
    return false;
  }
  std::set<base::ProcessId> processes;
  for (const auto& [id, grant] : found->grants) {
    if (grant.closure != GrantClosure::kNone &&
        grant.closure != GrantClosure::kFolded) {
      processes.insert(RetiredGrants::ProcessOf(grant.holder));
    }
  }
  for (const base::ProcessId& process : processes) {
    changed_ |= RetiredGrants(*found, process).FoldWhile(is_due);
  }
  return true;
}

}  // namespace godwit::ledger
