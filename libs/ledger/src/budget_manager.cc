#include "ledger/budget_manager.h"

#include "budget_manager_state.h"

namespace godwit::ledger {

BudgetManager::BudgetManager(const base::Incarnation& self,
                             BudgetManagerPolicy policy)
    : state_(std::make_unique<State>(self, policy)) {}

BudgetManager::~BudgetManager() = default;
BudgetManager::BudgetManager(BudgetManager&&) noexcept = default;
BudgetManager& BudgetManager::operator=(BudgetManager&&) noexcept = default;

std::vector<BudgetManagerCommand> BudgetManager::Step(
    base::Millis now,
    const BudgetManagerEvent& event) {
  return state_->Step(now, event);
}

bool BudgetManager::MaySpendAt(const base::GrantId& grant,
                               const base::Incarnation& agent) const {
  return state_->MaySpendAt(grant, agent);
}

size_t BudgetManager::open_reservations() const noexcept {
  return state_->open_reservations();
}

base::Tokens BudgetManager::available(const base::BudgetId& budget) const {
  return state_->available(budget);
}

}  // namespace godwit::ledger
