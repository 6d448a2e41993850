#ifndef LEDGER_LOAN_TRACKER_H_
#define LEDGER_LOAN_TRACKER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/loan_request.h"
#include "ledger/usage.h"
#include "reservation_rank.h"

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
    // Of the first request that waits at the borrower.
    ReservationRank rank;
  };
  // What a request reports, beyond earlier ones.
  struct Report {
    Usage used;
    base::Tokens returned = 0;
  };

  // Applies the usage that a request reports. Returns what is newly reported,
  // or no value if the request reports more than was lent, which means that it
  // does not belong to this incarnation.
  std::optional<Report> ApplyReport(const LoanRequest& request);
  // Adds `more` tokens to the loan.
  void Lend(const LoanRequest& request, base::Tokens more);
  base::Tokens Lent(const LoanRequest& request) const;
  base::Tokens Lent(const base::BudgetId& budget,
                    const base::Incarnation& borrower) const;
  // Returns the tokens lent of a budget that are neither reported as used nor
  // returned.
  base::Tokens Outstanding(const base::BudgetId& budget) const;

  // Adds a request, or replaces the borrower's earlier one.
  void AddWaiting(const Waiting& waiting);
  // Removes the waiting requests for which `served` returns true, by rank.
  void RemoveServed(const std::function<bool(const Waiting&)>& served);
  // Returns the largest amount that a request waits for.
  base::Tokens MaxWaiting(const base::BudgetId& budget) const;
  // Returns the sum of what requests wait for, and those that precede `rank`.
  base::Tokens TotalWaiting(const base::BudgetId& budget) const;
  base::Tokens WaitingBefore(const base::BudgetId& budget,
                             const ReservationRank& rank) const;
  // Returns the routers with outstanding loans, unless a request of theirs
  // waits.
  std::vector<base::Incarnation> BorrowersOf(
      const base::BudgetId& budget) const;

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

  // Returns what a request waits for.
  base::Tokens Amount(const Waiting& waiting) const;
  static LoanKey KeyOf(const LoanRequest& request) {
    return {request.budget, request.borrower};
  }

  std::map<LoanKey, Loan> loans_;
  std::map<base::BudgetId, base::Tokens> outstanding_;
  std::map<LoanKey, Waiting> waiting_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOAN_TRACKER_H_
