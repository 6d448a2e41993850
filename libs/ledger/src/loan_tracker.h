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

// Loans of a router to others from its own grants. Tokens that are lent and
// neither reported as used nor returned count as used: the borrower may spend
// them at any time, even when this router no longer knows it.
class LoanTracker {
 public:
  // A loan request that waits for tokens.
  struct Waiting {
    LoanRequest request;
    base::Endpoint from;
    base::Millis since;
  };

  // Applies the usage that a request reports. Returns the newly reported usage,
  // or no value if the request reports more than was lent, which means that it
  // does not belong to this incarnation.
  std::optional<Usage> ApplyReport(const LoanRequest& request);
  // Adds `more` tokens to the loan.
  void Lend(const LoanRequest& request, base::Tokens more);
  base::Tokens Lent(const LoanRequest& request) const;
  // Returns the tokens lent of a budget that are neither reported as used nor
  // returned.
  base::Tokens Outstanding(const base::BudgetId& budget) const;

  void AddWaiting(const LoanRequest& request,
                  const base::Endpoint& from,
                  base::Millis since);
  // Removes the waiting requests for which `served` returns true.
  void RemoveServed(const std::function<bool(const Waiting&)>& served);
  // Returns the largest amount that a request waits for.
  base::Tokens MaxWaiting(const base::BudgetId& budget) const;

  // Removes settled loans of borrowers that are not in the list.
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
