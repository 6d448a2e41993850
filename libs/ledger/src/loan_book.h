#ifndef LEDGER_LOAN_BOOK_H_
#define LEDGER_LOAN_BOOK_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/loan_ask.h"
#include "ledger/usage.h"

namespace godwit::ledger {

// What a router has lent to others from its own grants. Tokens that are lent
// and neither reported as used nor given back count as used: the borrower may
// spend them at any time, also when this router knows it no more.
class LoanBook {
 public:
  // An ask that waits for tokens.
  struct Waiting {
    LoanAsk ask;
    base::Endpoint from;
    base::Millis since;
  };

  // Takes note of what an ask reports. The tokens that are newly known to be
  // used; empty when it reports more than was lent, so that it is not of this
  // life.
  std::optional<Usage> Report(const LoanAsk& ask);
  // Lends so much more.
  void Lend(const LoanAsk& ask, base::Tokens more);
  base::Tokens Lent(const LoanAsk& ask) const;
  // Lent of a budget, and neither reported as used nor given back.
  base::Tokens Outstanding(const base::BudgetId& budget) const;

  void Wait(const LoanAsk& ask, const base::Endpoint& from, base::Millis since);
  // Removes waiting asks of which `served` is true.
  void Serve(const std::function<bool(const Waiting&)>& served);
  // Largest amount that is waited for.
  base::Tokens Awaited(const base::BudgetId& budget) const;

  // Forgets settled loans of lives that are not in the list.
  void Keep(const std::set<base::Incarnation>& borrowers);

 private:
  struct Loan {
    base::Tokens lent = 0;
    base::Tokens used = 0;
    base::Tokens unproven = 0;
    base::Tokens returned = 0;
    base::Tokens outstanding() const { return lent - used - returned; }
  };
  using LoanKey = std::pair<base::BudgetId, base::Incarnation>;

  static LoanKey KeyOf(const LoanAsk& ask) {
    return {ask.budget, ask.borrower};
  }

  std::map<LoanKey, Loan> loans_;
  std::map<base::BudgetId, base::Tokens> outstanding_;
  std::map<LoanKey, Waiting> waiting_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_BOOK_H_
