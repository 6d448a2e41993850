#include "borrowed_loans.h"

#include <algorithm>

namespace godwit::ledger {

using base::Tokens;

void BorrowedLoans::SetLent(const base::Incarnation& lender, Tokens lent) {
  Loan& loan = loans_[lender];
  if (lent > loan.lent) {
    free_ += lent - loan.lent;
    loan.lent = lent;
  }
}

Usage BorrowedLoans::Charge(Usage usage) {
  for (auto& [lender, loan] : loans_) {
    const Tokens part = std::min(usage.tokens, loan.free());
    const Tokens unproven = std::min(usage.unproven, part);
    loan.used += part;
    loan.unproven += unproven;
    free_ -= part;
    usage.tokens -= part;
    usage.unproven -= unproven;
  }
  return usage;
}

void BorrowedLoans::Return(Tokens amount) {
  for (auto& [lender, loan] : loans_) {
    const Tokens part = std::min(amount, loan.free());
    loan.returned += part;
    free_ -= part;
    amount -= part;
  }
}

}  // namespace godwit::ledger
