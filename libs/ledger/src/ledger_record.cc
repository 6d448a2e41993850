#include "ledger/ledger_record.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

// Subtracts non-negative amounts from a sum that must not fall below zero.
class RemainingTokens {
 public:
  explicit RemainingTokens(Tokens remaining) : remaining_(remaining) {}

  bool Take(Tokens amount) noexcept {
    if (amount < 0 || amount > remaining_) {
      return false;
    }
    remaining_ -= amount;
    return true;
  }

 private:
  Tokens remaining_;
};

bool UsageFits(const Grant& grant) {
  RemainingTokens remaining(grant.amount);
  for (const auto& [agent, account] : grant.agents) {
    if (!remaining.Take(account.billed)) {
      return false;
    }
  }
  return true;
}

bool TopUpsMatchLimit(const Budget& budget) {
  RemainingTokens remaining(budget.limit);
  Tokens sum = 0;
  for (const auto& [operation, top_up] : budget.top_ups) {
    if (top_up.amount <= 0 || !remaining.Take(top_up.amount)) {
      return false;
    }
    sum += top_up.amount;
  }
  return sum == budget.limit;
}

bool AllocationsFit(const Budget& budget) {
  RemainingTokens remaining(budget.limit);
  if (!remaining.Take(budget.billed) || !remaining.Take(budget.held)) {
    return false;
  }
  for (const auto& [id, grant] : budget.grants) {
    if (!remaining.Take(grant.amount) || !UsageFits(grant)) {
      return false;
    }
  }
  return true;
}

bool WantsAreValid(const Budget& budget) {
  for (const auto& [holder, amount] : budget.wants) {
    if (amount <= 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<base::Error> LedgerRecord::CheckInvariant() const {
  for (const auto& [id, budget] : budgets) {
    if (!TopUpsMatchLimit(budget) || !AllocationsFit(budget) ||
        !WantsAreValid(budget)) {
      return base::Error(
          base::ErrorKind::kCorrupt,
          "the amounts of budget " + id.value() + " contradict its limit",
          "restore the record from its last sound version");
    }
  }
  return std::nullopt;
}

}  // namespace godwit::ledger
