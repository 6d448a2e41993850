#include "borrowed.h"

#include <algorithm>

namespace godwit::ledger {

using base::Tokens;

void Borrowed::Lent(const base::Incarnation& lender, Tokens lent) {
  Loan& loan = loans_[lender];
  if (lent > loan.lent) {
    free_ += lent - loan.lent;
    loan.lent = lent;
  }
}

Tokens Borrowed::Use(Tokens amount) {
  for (auto& [lender, loan] : loans_) {
    const Tokens part = std::min(amount, loan.free());
    loan.used += part;
    free_ -= part;
    amount -= part;
  }
  return amount;
}

void Borrowed::Return(Tokens amount) {
  for (auto& [lender, loan] : loans_) {
    const Tokens part = std::min(amount, loan.free());
    loan.returned += part;
    free_ -= part;
    amount -= part;
  }
}

}  // namespace godwit::ledger
