#include "loan_tracker.h"

#include <algorithm>

namespace godwit::ledger {

using base::Tokens;

std::optional<Usage> LoanTracker::ApplyReport(const LoanRequest& request) {
  const auto found = loans_.find(KeyOf(request));
  const Tokens lent = found == loans_.end() ? 0 : found->second.lent;
  if (request.used > lent || request.returned > lent - request.used ||
      request.unproven > request.used) {
    return std::nullopt;
  }
  if (found == loans_.end()) {
    return Usage();
  }
  Loan& loan = found->second;
  // Reports may arrive out of order.
  const Tokens used = std::max(loan.used, request.used);
  const Tokens returned = std::max(loan.returned, request.returned);
  const Tokens unproven = std::max(loan.unproven, request.unproven);
  const Usage newly_used = {used - loan.used, unproven - loan.unproven};
  outstanding_[request.budget] -= newly_used.tokens + returned - loan.returned;
  loan.used = used;
  loan.unproven = unproven;
  loan.returned = returned;
  return newly_used;
}

void LoanTracker::Lend(const LoanRequest& request, Tokens more) {
  loans_[KeyOf(request)].lent += more;
  outstanding_[request.budget] += more;
}

Tokens LoanTracker::Lent(const LoanRequest& request) const {
  const auto found = loans_.find(KeyOf(request));
  return found == loans_.end() ? 0 : found->second.lent;
}

Tokens LoanTracker::Outstanding(const base::BudgetId& budget) const {
  const auto found = outstanding_.find(budget);
  return found == outstanding_.end() ? 0 : found->second;
}

void LoanTracker::AddWaiting(const LoanRequest& request,
                             const base::Endpoint& from,
                             base::Millis since) {
  const auto found = waiting_.find(KeyOf(request));
  if (found == waiting_.end()) {
    waiting_[KeyOf(request)] = {request, from, since};
    return;
  }
  found->second.request = request;
  found->second.from = from;
}

void LoanTracker::RemoveServed(
    const std::function<bool(const Waiting&)>& served) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    it = served(it->second) ? waiting_.erase(it) : std::next(it);
  }
}

Tokens LoanTracker::MaxWaiting(const base::BudgetId& budget) const {
  Tokens most = 0;
  for (const auto& [key, waiting] : waiting_) {
    if (key.first == budget) {
      most = std::max(most, waiting.request.least - Lent(waiting.request));
    }
  }
  return most;
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
