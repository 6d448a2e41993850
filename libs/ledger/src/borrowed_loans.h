#ifndef LEDGER_BORROWED_LOANS_H_
#define LEDGER_BORROWED_LOANS_H_

#include <map>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/usage.h"

namespace godwit::ledger {

// What a router has borrowed of one budget, by the life of the lender.
class BorrowedLoans {
 public:
  struct Loan {
    base::Tokens lent = 0;
    base::Tokens used = 0;
    base::Tokens unproven = 0;
    base::Tokens returned = 0;
    // Part of used and returned that the lender was told last.
    base::Tokens reported = 0;
    base::Millis reported_at;

    base::Tokens free() const { return lent - used - returned; }
    bool has_unreported_usage() const { return used + returned != reported; }
  };

  // Borrowed, and neither used nor given back.
  base::Tokens free() const noexcept { return free_; }
  const std::map<base::Incarnation, Loan>& loans() const noexcept {
    return loans_;
  }
  Loan& LoanOf(const base::Incarnation& lender) { return loans_[lender]; }

  // The lender says how much it lent in all.
  void SetLent(const base::Incarnation& lender, base::Tokens lent);
  // Charges what was used. The rest, which exceeds what is borrowed.
  Usage Charge(Usage usage);
  // Gives so much back of what is free.
  void Return(base::Tokens amount);

 private:
  std::map<base::Incarnation, Loan> loans_;
  base::Tokens free_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BORROWED_LOANS_H_
