#ifndef LEDGER_LOAN_REQUEST_H_
#define LEDGER_LOAN_REQUEST_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Message of a borrower to a lender: reports usage of a loan and requests
// tokens. All amounts are sums since the loan began and never decrease, so that
// messages may be lost, duplicated or reordered.
struct LoanRequest {
  base::Incarnation borrower;
  base::Incarnation lender;
  base::BudgetId budget;
  // Parts of the loan: used, the part of `used` that may not have been used
  // after all, and returned unused.
  base::Tokens used = 0;
  base::Tokens unproven = 0;
  base::Tokens returned = 0;
  // Sum that must be lent in total to serve the waiting requests, and the sum
  // that is requested. Zero requests nothing.
  base::Tokens least = 0;
  base::Tokens wished = 0;
  // Wall clock of the sender; zero if it is not known.
  base::Millis wall_time;
  // Urgency of the first of the waiting requests, 0 being the most urgent, and
  // the time for which it has waited.
  int64_t urgency = 0;
  base::Millis waited;
  // Of a message that requests tokens: tells it from the borrower's others.
  int64_t number = 0;

  friend bool operator==(const LoanRequest& a, const LoanRequest& b) {
    return std::tie(a.borrower, a.lender, a.budget, a.used, a.unproven,
                    a.returned, a.least, a.wished, a.wall_time, a.urgency,
                    a.waited, a.number) ==
           std::tie(b.borrower, b.lender, b.budget, b.used, b.unproven,
                    b.returned, b.least, b.wished, b.wall_time, b.urgency,
                    b.waited, b.number);
  }
  friend bool operator!=(const LoanRequest& a, const LoanRequest& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_REQUEST_H_
