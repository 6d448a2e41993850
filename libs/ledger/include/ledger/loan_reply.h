#ifndef LEDGER_LOAN_REPLY_H_
#define LEDGER_LOAN_REPLY_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Answer to a LoanRequest.
struct LoanReply {
  enum class State : uint8_t {
    // The least that was asked for is lent.
    kLent,
    // The lender draws from the ledger; another reply follows.
    kPending,
    // The lender can't lend it now.
    kRefused,
    // As the ledger stands, less is free than was asked for.
    kNothingFree,
  };

  base::Incarnation lender;
  base::Incarnation borrower;
  base::BudgetId budget;
  // Sum of all that was lent; never falls.
  base::Tokens lent = 0;
  State state = State::kLent;
  // Most that can be left of the budget, from what is known to be used.
  base::Tokens left = 0;

  friend bool operator==(const LoanReply& a, const LoanReply& b) {
    return std::tie(a.lender, a.borrower, a.budget, a.lent, a.state, a.left) ==
           std::tie(b.lender, b.borrower, b.budget, b.lent, b.state, b.left);
  }
  friend bool operator!=(const LoanReply& a, const LoanReply& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_REPLY_H_
