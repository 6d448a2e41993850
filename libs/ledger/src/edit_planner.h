#ifndef LEDGER_EDIT_PLANNER_H_
#define LEDGER_EDIT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "base/ids.h"
#include "base/millis.h"
#include "grant_recovery.h"
#include "ledger/budget_manager_policy.h"
#include "ledger/ledger_edit.h"
#include "local_budget.h"
#include "shard_view.h"

namespace godwit::ledger {

// Decides what a router writes about a budget: what to draw, return, list and
// settle.
class EditPlanner {
 public:
  // Inputs that the plans of all budgets of a shard share.
  struct Context {
    base::Millis now;
    const ShardView& view;
    const std::set<base::Incarnation>& usable;
    const GrantRecovery& recovery;
    // Number of routers known to have a live lease.
    size_t live_routers;
    bool draining;
  };

  EditPlanner(base::Incarnation self, BudgetManagerPolicy policy)
      : self_(std::move(self)), policy_(policy) {}

  // Adds the budget's changes to the edit. Returns true if any of them should
  // not wait for the settle period.
  bool Plan(const Context& context, LocalBudget& local, LedgerEdit& edit);

  // Returns the number of free tokens that the budget's grant should have.
  base::Tokens Target(const Context& context, const LocalBudget& local) const;

 private:
  void SettleUsage(const LocalBudget& local, LedgerEdit& edit) const;
  void RemoveLostAgents(const Context& context,
                        const LocalBudget& local,
                        LedgerEdit& edit) const;
  bool DrawForWaiting(const Context& context,
                      LocalBudget& local,
                      LedgerEdit& edit);
  bool RequestRecall(const LocalBudget& local,
                     base::Tokens shortfall,
                     LedgerEdit& edit) const;
  bool DrawAhead(const Context& context, LocalBudget& local, LedgerEdit& edit);
  bool Draw(LocalBudget& local, base::Tokens amount, LedgerEdit& edit);
  bool ReturnForOthers(const Context& context,
                       const LocalBudget& local,
                       LedgerEdit& edit) const;
  void ReturnExcess(const Context& context,
                    const LocalBudget& local,
                    LedgerEdit& edit) const;
  bool ListUsable(const Context& context,
                  const LocalBudget& local,
                  LedgerEdit& edit) const;
  // Returns the sum of the shortfalls of other routers.
  base::Tokens OthersShortfall(const Budget& budget) const;
  // Returns the sum of the shortfalls of the other routers that are served
  // before this one.
  base::Tokens PriorShortfall(const Budget& budget,
                              const LocalBudget& local) const;

  base::Incarnation self_;
  BudgetManagerPolicy policy_;
  int64_t next_grant_ = 1;
};

// Returns the tokens of a budget that are neither billed nor held.
base::Tokens RemainingIn(const Budget& budget);

// Returns the tokens of the budget's grant that can be reserved.
base::Tokens AvailableIn(const ShardView& view, const LocalBudget& local);

}  // namespace godwit::ledger

#endif  // LEDGER_EDIT_PLANNER_H_
