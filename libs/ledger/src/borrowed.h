#ifndef LEDGER_BORROWED_H_
#define LEDGER_BORROWED_H_

#include <map>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/usage.h"

namespace godwit::ledger {

// What a router has borrowed of one budget, by the life of the lender.
class Borrowed {
 public:
  struct Loan {
    base::Tokens lent = 0;
    base::Tokens used = 0;
    base::Tokens unproven = 0;
    base::Tokens returned = 0;
    // Part of used and returned that the lender was told last.
    base::Tokens told = 0;
    base::Millis told_at;

    base::Tokens free() const { return lent - used - returned; }
    bool has_news() const { return used + returned != told; }
  };

  // Borrowed, and neither used nor given back.
  base::Tokens free() const noexcept { return free_; }
  const std::map<base::Incarnation, Loan>& loans() const noexcept {
    return loans_;
  }
  Loan& LoanOf(const base::Incarnation& lender) { return loans_[lender]; }

  // The lender says how much it lent in all.
  void Lent(const base::Incarnation& lender, base::Tokens lent);
  // Charges what was used. The rest, which exceeds what is borrowed.
  Usage Use(Usage usage);
  // Gives so much back of what is free.
  void Return(base::Tokens amount);

 private:
  std::map<base::Incarnation, Loan> loans_;
  base::Tokens free_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BORROWED_H_
