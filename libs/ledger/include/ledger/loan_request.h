#ifndef LEDGER_LOAN_REQUEST_H_
#define LEDGER_LOAN_REQUEST_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// What a router tells another that lends it tokens of a budget. All amounts are
// sums since the loan began and never fall, so that a message may be lost,
// doubled or overtaken.
struct LoanRequest {
  base::Incarnation borrower;
  base::Incarnation lender;
  base::BudgetId budget;
  // Of what was lent: used, the part of that which may not have been used
  // after all, and given back unused.
  base::Tokens used = 0;
  base::Tokens unproven = 0;
  base::Tokens returned = 0;
  // Sum that must be lent in all to serve what waits, and the sum wished for.
  // Zero asks for nothing.
  base::Tokens least = 0;
  base::Tokens wished = 0;

  friend bool operator==(const LoanRequest& a, const LoanRequest& b) {
    return std::tie(a.borrower, a.lender, a.budget, a.used, a.unproven,
                    a.returned, a.least, a.wished) ==
           std::tie(b.borrower, b.lender, b.budget, b.used, b.unproven,
                    b.returned, b.least, b.wished);
  }
  friend bool operator!=(const LoanRequest& a, const LoanRequest& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_REQUEST_H_
