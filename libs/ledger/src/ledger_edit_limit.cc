// LedgerEdit: creation and limits of budgets.
#include <algorithm>
#include <limits>
#include <string>

#include "ledger/ledger_edit.h"

namespace godwit::ledger {
namespace {

using base::ErrorKind;
using base::Tokens;

// Operation id of the only top-up of a budget whose limit was set by SetLimit.
constexpr char kConfiguredLimitOperation[] = "limit";
constexpr Tokens kMaxTokens = std::numeric_limits<Tokens>::max();

}  // namespace

bool LedgerEdit::CreateBudget(const base::BudgetId& budget,
                              const base::OrganisationId& organisation) {
  if (budget.empty() || organisation.empty()) {
    return Fail(ErrorKind::kInvalidArgument,
                "a budget needs a name and an organisation", "name both");
  }
  const auto found = record_.budgets.find(budget);
  if (found == record_.budgets.end()) {
    record_.budgets[budget].organisation = organisation;
    changed_ = true;
    return true;
  }
  if (found->second.organisation != organisation) {
    return Fail(ErrorKind::kConflict,
                "budget " + budget.value() + " belongs to organisation " +
                    found->second.organisation.value(),
                "choose another budget name");
  }
  return true;
}

bool LedgerEdit::TopUp(const base::BudgetId& budget,
                       const std::string& operation,
                       Tokens amount,
                       base::Millis wall_now) {
  if (amount <= 0) {
    return Fail(ErrorKind::kInvalidArgument,
                "a top-up of " + std::to_string(amount) + " is not positive",
                "give a whole number of tokens above zero");
  }
  if (operation.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "a top-up needs an operation id",
                "give an id that names this top-up only");
  }
  Budget* const found = FindBudget(budget);
  if (found == nullptr) {
    return false;
  }
  const auto applied = found->top_ups.find(operation);
  if (applied != found->top_ups.end()) {
    return applied->second.amount == amount ||
           Fail(ErrorKind::kConflict,
                "operation " + operation + " topped up " +
                    std::to_string(applied->second.amount) + " tokens",
                "use a new operation id for another amount");
  }
  if (amount > kMaxTokens - found->limit) {
    return Fail(ErrorKind::kInvalidArgument,
                "the limit would exceed " + std::to_string(kMaxTokens),
                "top up less");
  }
  found->limit += amount;
  found->top_ups[operation] = ledger::TopUp{amount, wall_now};
  changed_ = true;
  return true;
}

bool LedgerEdit::SetLimit(const base::BudgetId& budget,
                          Tokens limit,
                          base::Millis wall_now) {
  Budget* const found = FindBudget(budget);
  if (found == nullptr) {
    return false;
  }
  if (limit < 0) {
    return Fail(ErrorKind::kInvalidArgument, "a limit can't be negative",
                "give a number of tokens");
  }
  const Tokens committed = found->limit - found->free();
  const Tokens covered = std::max(limit, committed);
  if (covered == found->limit) {
    return true;
  }
  found->top_ups.clear();
  if (covered > 0) {
    found->top_ups[kConfiguredLimitOperation] =
        ledger::TopUp{covered, wall_now};
  }
  found->limit = covered;
  changed_ = true;
  return true;
}

}  // namespace godwit::ledger
