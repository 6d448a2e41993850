#ifndef LEDGER_BUDGET_MANAGER_H_
#define LEDGER_BUDGET_MANAGER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/budget_manager_command.h"
#include "ledger/budget_manager_event.h"
#include "ledger/budget_manager_policy.h"

namespace godwit::ledger {

// The router's part in the ledger: draws grants from budgets, reserves from
// them, settles usage, gives back what others lack, and recovers grants of lost
// routers. A state machine without I/O; one thread at a time.
//
// Spending is safe at any delay of anything: what may be spent is never more
// than the least amount that any version of the record, stored or still being
// written, sets aside for this holder.
class BudgetManager {
 public:
  // `self` is this router's life. Times given to Step never go backwards.
  BudgetManager(const base::Incarnation& self, BudgetManagerPolicy policy);
  ~BudgetManager();
  BudgetManager(BudgetManager&&) noexcept;
  BudgetManager& operator=(BudgetManager&&) noexcept;

  // Reacts to one event. The commands are to be carried out in order.
  std::vector<BudgetManagerCommand> Step(base::Millis now,
                                         const BudgetManagerEvent& event);

  // True when the ledger lists the agent under this holder's grant, so that an
  // attempt reserved under it may be sent there.
  bool MaySpendAt(const base::GrantId& grant,
                  const base::Incarnation& agent) const;

  // Reservations granted and neither settled nor released.
  size_t open_reservations() const noexcept;
  // Tokens that can be reserved of a budget without the KV.
  base::Tokens available(const base::BudgetId& budget) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MANAGER_H_
