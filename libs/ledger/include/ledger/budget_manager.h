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

// A router's part in the ledger: draws grants from budgets, reserves from them,
// settles usage, returns what other routers need, and recovers the grants of
// lost routers. A state machine without I/O. Not thread-safe.
//
// Spending stays within the budget however long any message or operation is
// delayed: a router spends at most the smallest amount that any version of the
// record, stored or still being written, sets aside for it.
class BudgetManager {
 public:
  // `self` is this router's incarnation. Times passed to Step must not
  // decrease.
  BudgetManager(const base::Incarnation& self, BudgetManagerPolicy policy);
  ~BudgetManager();
  BudgetManager(BudgetManager&&) noexcept;
  BudgetManager& operator=(BudgetManager&&) noexcept;

  // Handles one event. The commands must be carried out in order.
  std::vector<BudgetManagerCommand> Step(base::Millis now,
                                         const BudgetManagerEvent& event);

  // True if the ledger lists the agent under this router's grant, so that an
  // attempt reserved under it may be sent there.
  bool MaySpendAt(const base::GrantId& grant,
                  const base::Incarnation& agent) const;

  // Number of reservations that are granted and neither settled nor released.
  size_t open_reservations() const noexcept;
  // Returns the tokens of a budget that can be reserved without a KV operation.
  base::Tokens available(const base::BudgetId& budget) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MANAGER_H_
