#include "ledger/ledger_record.h"

namespace godwit::ledger {
namespace {

using base::Tokens;

// Takes non-negative amounts off a rest that must not fall below zero.
class Rest {
 public:
  explicit Rest(Tokens rest) : rest_(rest) {}

  bool Take(Tokens amount) noexcept {
    if (amount < 0 || amount > rest_) {
      return false;
    }
    rest_ -= amount;
    return true;
  }

 private:
  Tokens rest_;
};

bool UsageFits(const Grant& grant) {
  Rest rest(grant.amount);
  for (const auto& [agent, account] : grant.agents) {
    if (!rest.Take(account.billed)) {
      return false;
    }
  }
  return true;
}

bool TopUpsMakeLimit(const Budget& budget) {
  Rest rest(budget.limit);
  Tokens sum = 0;
  for (const auto& [operation, top_up] : budget.top_ups) {
    if (top_up.amount <= 0 || !rest.Take(top_up.amount)) {
      return false;
    }
    sum += top_up.amount;
  }
  return sum == budget.limit;
}

bool SharesFit(const Budget& budget) {
  Rest rest(budget.limit);
  if (!rest.Take(budget.billed) || !rest.Take(budget.held)) {
    return false;
  }
  for (const auto& [id, grant] : budget.grants) {
    if (!rest.Take(grant.amount) || !UsageFits(grant)) {
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
    if (!TopUpsMakeLimit(budget) || !SharesFit(budget) ||
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
