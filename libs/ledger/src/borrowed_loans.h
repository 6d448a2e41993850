#ifndef LEDGER_BORROWED_LOANS_H_
#define LEDGER_BORROWED_LOANS_H_

#include <map>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/usage.h"

namespace godwit::ledger {

// Loans that a router has borrowed of one budget, by lender incarnation.
class BorrowedLoans {
 public:
  struct Loan {
    base::Tokens lent = 0;
    base::Tokens used = 0;
    base::Tokens unproven = 0;
    base::Tokens returned = 0;
    // Part of `used` and `returned`, and of `returned` alone, last reported to
    // the lender.
    base::Tokens reported = 0;
    base::Tokens reported_returned = 0;
    base::Millis reported_at;

    base::Tokens free() const { return lent - used - returned; }
    bool has_unreported_usage() const { return used + returned != reported; }
    bool has_unreported_return() const { return returned != reported_returned; }
  };

  // Borrowed tokens that are neither used nor returned.
  base::Tokens free() const noexcept { return free_; }
  const std::map<base::Incarnation, Loan>& loans() const noexcept {
    return loans_;
  }
  Loan& LoanOf(const base::Incarnation& lender) { return loans_[lender]; }

  // Sets the sum that the lender reports to have lent.
  void SetLent(const base::Incarnation& lender, base::Tokens lent);
  // Charges usage to the loans and returns the part that exceeds them.
  Usage Charge(Usage usage);
  // Returns up to `amount` of the free tokens to the lenders.
  void Return(base::Tokens amount);

 private:
  std::map<base::Incarnation, Loan> loans_;
  base::Tokens free_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BORROWED_LOANS_H_
