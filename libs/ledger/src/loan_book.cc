#include "loan_book.h"

#include <algorithm>

namespace godwit::ledger {

using base::Tokens;

std::optional<Usage> LoanBook::Report(const LoanAsk& ask) {
  const auto found = loans_.find(KeyOf(ask));
  const Tokens lent = found == loans_.end() ? 0 : found->second.lent;
  if (ask.used > lent || ask.returned > lent - ask.used ||
      ask.unproven > ask.used) {
    return std::nullopt;
  }
  if (found == loans_.end()) {
    return Usage();
  }
  Loan& loan = found->second;
  // An older report may arrive later.
  const Tokens used = std::max(loan.used, ask.used);
  const Tokens returned = std::max(loan.returned, ask.returned);
  const Tokens unproven = std::max(loan.unproven, ask.unproven);
  const Usage newly_used = {used - loan.used, unproven - loan.unproven};
  outstanding_[ask.budget] -= newly_used.tokens + returned - loan.returned;
  loan.used = used;
  loan.unproven = unproven;
  loan.returned = returned;
  return newly_used;
}

void LoanBook::Lend(const LoanAsk& ask, Tokens more) {
  loans_[KeyOf(ask)].lent += more;
  outstanding_[ask.budget] += more;
}

Tokens LoanBook::Lent(const LoanAsk& ask) const {
  const auto found = loans_.find(KeyOf(ask));
  return found == loans_.end() ? 0 : found->second.lent;
}

Tokens LoanBook::Outstanding(const base::BudgetId& budget) const {
  const auto found = outstanding_.find(budget);
  return found == outstanding_.end() ? 0 : found->second;
}

void LoanBook::Wait(const LoanAsk& ask,
                    const base::Endpoint& from,
                    base::Millis since) {
  const auto found = waiting_.find(KeyOf(ask));
  if (found == waiting_.end()) {
    waiting_[KeyOf(ask)] = {ask, from, since};
    return;
  }
  found->second.ask = ask;
  found->second.from = from;
}

void LoanBook::Serve(const std::function<bool(const Waiting&)>& served) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    it = served(it->second) ? waiting_.erase(it) : std::next(it);
  }
}

Tokens LoanBook::Awaited(const base::BudgetId& budget) const {
  Tokens most = 0;
  for (const auto& [key, waiting] : waiting_) {
    if (key.first == budget) {
      most = std::max(most, waiting.ask.least - Lent(waiting.ask));
    }
  }
  return most;
}

void LoanBook::Keep(const std::set<base::Incarnation>& borrowers) {
  for (auto it = loans_.begin(); it != loans_.end();) {
    const bool is_over =
        it->second.outstanding() == 0 && borrowers.count(it->first.second) == 0;
    it = is_over ? loans_.erase(it) : std::next(it);
  }
}

}  // namespace godwit::ledger
