#include "loan_tracker.h"

#include <algorithm>

namespace godwit::ledger {

using base::Tokens;

std::optional<LoanTracker::Report> LoanTracker::ApplyReport(
    const LoanRequest& request) {
  const auto found = loans_.find(KeyOf(request));
  const Tokens lent = found == loans_.end() ? 0 : found->second.lent;
  if (request.used > lent || request.returned > lent - request.used ||
      request.unproven > request.used) {
    return std::nullopt;
  }
  if (found == loans_.end()) {
    return Report();
  }
  Loan& loan = found->second;
  // Reports may arrive out of order.
  const Tokens used = std::max(loan.used, request.used);
  const Tokens returned = std::max(loan.returned, request.returned);
  const Tokens unproven = std::max(loan.unproven, request.unproven);
  const Report report = {{used - loan.used, unproven - loan.unproven},
                         returned - loan.returned};
  outstanding_[request.budget] -= report.used.tokens + report.returned;
  loan.used = used;
  loan.unproven = unproven;
  loan.returned = returned;
  return report;
}

void LoanTracker::Lend(const LoanRequest& request, Tokens more) {
  loans_[KeyOf(request)].lent += more;
  outstanding_[request.budget] += more;
}

Tokens LoanTracker::Lent(const LoanRequest& request) const {
  return Lent(request.budget, request.borrower);
}

Tokens LoanTracker::Lent(const base::BudgetId& budget,
                         const base::Incarnation& borrower) const {
  const auto found = loans_.find({budget, borrower});
  return found == loans_.end() ? 0 : found->second.lent;
}

Tokens LoanTracker::Outstanding(const base::BudgetId& budget) const {
  const auto found = outstanding_.find(budget);
  return found == outstanding_.end() ? 0 : found->second;
}

void LoanTracker::AddWaiting(const Waiting& waiting) {
  const auto [entry, is_new] =
      waiting_.try_emplace(KeyOf(waiting.request), waiting);
  if (!is_new) {
    const base::Millis since = entry->second.since;
    entry->second = waiting;
    entry->second.since = since;
  }
}

void LoanTracker::RemoveServed(
    const std::function<bool(const Waiting&)>& served) {
  std::vector<std::pair<ReservationRank, LoanKey>> ranked;
  ranked.reserve(waiting_.size());
  for (const auto& [key, waiting] : waiting_) {
    ranked.emplace_back(waiting.rank, key);
  }
  std::sort(ranked.begin(), ranked.end());
  for (const auto& [rank, key] : ranked) {
    if (served(waiting_.at(key))) {
      waiting_.erase(key);
    }
  }
}

Tokens LoanTracker::Amount(const Waiting& waiting) const {
  return std::max<Tokens>(0, waiting.request.least - Lent(waiting.request));
}

Tokens LoanTracker::MaxWaiting(const base::BudgetId& budget) const {
  Tokens most = 0;
  for (const auto& [key, waiting] : waiting_) {
    if (key.first == budget) {
      most = std::max(most, Amount(waiting));
    }
  }
  return most;
}

Tokens LoanTracker::TotalWaiting(const base::BudgetId& budget) const {
  Tokens sum = 0;
  for (const auto& [key, waiting] : waiting_) {
    sum += key.first == budget ? Amount(waiting) : 0;
  }
  return sum;
}

Tokens LoanTracker::WaitingBefore(const base::BudgetId& budget,
                                  const ReservationRank& rank) const {
  Tokens sum = 0;
  for (const auto& [key, waiting] : waiting_) {
    const bool is_before = key.first == budget && waiting.rank < rank;
    sum += is_before ? Amount(waiting) : 0;
  }
  return sum;
}

std::vector<base::Incarnation> LoanTracker::BorrowersOf(
    const base::BudgetId& budget) const {
  std::vector<base::Incarnation> borrowers;
  for (const auto& [key, loan] : loans_) {
    if (key.first == budget && loan.outstanding() > 0 &&
        waiting_.count(key) == 0) {
      borrowers.push_back(key.second);
    }
  }
  return borrowers;
}

void LoanTracker::RetainBorrowers(
    const std::set<base::Incarnation>& borrowers) {
  for (auto it = loans_.begin(); it != loans_.end();) {
    const bool is_settled =
        it->second.outstanding() == 0 && borrowers.count(it->first.second) == 0;
    it = is_settled ? loans_.erase(it) : std::next(it);
  }
}

}  // namespace godwit::ledger
