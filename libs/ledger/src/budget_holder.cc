#include "ledger/budget_holder.h"

#include "holder_state.h"

namespace godwit::ledger {

BudgetHolder::BudgetHolder(const base::Incarnation& self, HolderPolicy policy)
    : state_(std::make_unique<State>(self, policy)) {}

BudgetHolder::~BudgetHolder() = default;
BudgetHolder::BudgetHolder(BudgetHolder&&) noexcept = default;
BudgetHolder& BudgetHolder::operator=(BudgetHolder&&) noexcept = default;

std::vector<HolderCommand> BudgetHolder::Step(base::Millis now,
                                              const HolderEvent& event) {
  return state_->Step(now, event);
}

bool BudgetHolder::MaySpendAt(const base::GrantId& grant,
                              const base::Incarnation& agent) const {
  return state_->MaySpendAt(grant, agent);
}

size_t BudgetHolder::open_reservations() const noexcept {
  return state_->open_reservations();
}

base::Tokens BudgetHolder::available(const base::BudgetId& budget) const {
  return state_->available(budget);
}

}  // namespace godwit::ledger
