#ifndef LEDGER_LOAN_REPLY_H_
#define LEDGER_LOAN_REPLY_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Reply to a LoanRequest.
struct LoanReply {
  enum class State : uint8_t {
    // The requested minimum is lent.
    kLent,
    // The lender draws from the ledger; another reply follows.
    kPending,
    // The lender can't lend the requested minimum now.
    kRefused,
    // According to the ledger, less is free than was requested.
    kNothingFree,
  };

  base::Incarnation lender;
  base::Incarnation borrower;
  base::BudgetId budget;
  // Total lent since the loan began; never decreases.
  base::Tokens lent = 0;
  State state = State::kLent;
  // Maximum that can remain of the budget, given the usage that is known.
  base::Tokens left = 0;
  // What the lender's grant of the budget sets aside, which the borrowers know
  // if the lender is lost together with its last writes.
  base::Tokens granted = 0;
  // Wall clock of the sender; zero if it is not known.
  base::Millis wall_time;
  // The borrower is to return at once what no request needs, and to borrow only
  // what one needs.
  bool is_scarce = false;
  // Of a refusal: when tokens are expected; zero if it is not known.
  base::Millis retry_after;
  // Of the request that it answers; zero if it answers none.
  int64_t number = 0;
  // Orders `granted` among the amounts that the lender sets (Grant::revision).
  int64_t granted_revision = 0;
  // That of the lender's grant (Grant::sequence).
  int64_t granted_sequence = 0;

  friend bool operator==(const LoanReply& a, const LoanReply& b) {
    return std::tie(a.lender, a.borrower, a.budget, a.lent, a.state, a.left,
                    a.granted, a.wall_time, a.is_scarce, a.retry_after,
                    a.number, a.granted_revision, a.granted_sequence) ==
           std::tie(b.lender, b.borrower, b.budget, b.lent, b.state, b.left,
                    b.granted, b.wall_time, b.is_scarce, b.retry_after,
                    b.number, b.granted_revision, b.granted_sequence);
  }
  friend bool operator!=(const LoanReply& a, const LoanReply& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_REPLY_H_
