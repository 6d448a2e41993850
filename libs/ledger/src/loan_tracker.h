#ifndef LEDGER_LOAN_TRACKER_H_
#define LEDGER_LOAN_TRACKER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/loan_request.h"
#include "ledger/usage.h"

namespace godwit::ledger {

// What a router has lent to others from its own grants. Tokens that are lent
// and neither reported as used nor given back count as used: the borrower may
// spend them at any time, also when this router knows it no more.
class LoanTracker {
 public:
  // An ask that waits for tokens.
  struct Waiting {
    LoanRequest request;
    base::Endpoint from;
    base::Millis since;
  };

  // Takes note of what an ask reports. The tokens that are newly known to be
  // used; empty when it reports more than was lent, so that it is not of this
  // life.
  std::optional<Usage> ApplyReport(const LoanRequest& request);
  // Lends so much more.
  void Lend(const LoanRequest& request, base::Tokens more);
  base::Tokens Lent(const LoanRequest& request) const;
  // Lent of a budget, and neither reported as used nor given back.
  base::Tokens Outstanding(const base::BudgetId& budget) const;

  void AddWaiting(const LoanRequest& request,
                  const base::Endpoint& from,
                  base::Millis since);
  // Removes waiting asks of which `served` is true.
  void RemoveServed(const std::function<bool(const Waiting&)>& served);
  // Largest amount that is waited for.
  base::Tokens MaxWaiting(const base::BudgetId& budget) const;

  // Forgets settled loans of lives that are not in the list.
  void RetainBorrowers(const std::set<base::Incarnation>& borrowers);

 private:
  struct Loan {
    base::Tokens lent = 0;
    base::Tokens used = 0;
    base::Tokens unproven = 0;
    base::Tokens returned = 0;
    base::Tokens outstanding() const { return lent - used - returned; }
  };
  using LoanKey = std::pair<base::BudgetId, base::Incarnation>;

  static LoanKey KeyOf(const LoanRequest& request) {
    return {request.budget, request.borrower};
  }

  std::map<LoanKey, Loan> loans_;
  std::map<base::BudgetId, base::Tokens> outstanding_;
  std::map<LoanKey, Waiting> waiting_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_TRACKER_H_
