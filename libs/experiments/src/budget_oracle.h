#ifndef EXPERIMENTS_BUDGET_ORACLE_H_
#define EXPERIMENTS_BUDGET_ORACLE_H_

#include <algorithm>
#include <map>

#include "base/ids.h"

namespace godwit::experiments {

// Tracks every top-up, reservation and bill at the time it happens.
class BudgetOracle {
 public:
  void Limit(const base::BudgetId& budget, base::Tokens limit) {
    accounts_[budget].limit = limit;
  }
  void Reserve(const base::BudgetId& budget, base::Tokens amount) {
    accounts_[budget].reserved += amount;
  }
  void Bill(const base::BudgetId& budget,
            base::Tokens reserved,
            base::Tokens billed) {
    Account& account = accounts_[budget];
    account.reserved -= reserved;
    account.billed += billed;
    account.overspend =
        std::max(account.overspend, account.billed - account.limit);
  }

  base::Tokens limit(const base::BudgetId& budget) const {
    return accounts_.at(budget).limit;
  }
  // Tokens neither billed nor reserved.
  base::Tokens left(const base::BudgetId& budget) const {
    const Account& account = accounts_.at(budget);
    return account.limit - account.billed - account.reserved;
  }
  // Sum over all budgets of the largest amount billed beyond the limit.
  base::Tokens overspend() const {
    base::Tokens sum = 0;
    for (const auto& [budget, account] : accounts_) {
      sum += account.overspend;
    }
    return sum;
  }

 private:
  struct Account {
    base::Tokens limit = 0;
    base::Tokens billed = 0;
    base::Tokens reserved = 0;
    base::Tokens overspend = 0;
  };

  std::map<base::BudgetId, Account> accounts_;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGET_ORACLE_H_
