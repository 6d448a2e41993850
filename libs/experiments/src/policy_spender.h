#ifndef EXPERIMENTS_POLICY_SPENDER_H_
#define EXPERIMENTS_POLICY_SPENDER_H_

#include <set>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/budget_manager.h"
#include "spender_output.h"
#include "spender_setup.h"

namespace godwit::experiments {

// Spends with the grant policy of libs/ledger.
class PolicySpender {
 public:
  explicit PolicySpender(const SpenderSetup& setup);

  void Reserve(base::Millis now,
               const base::AttemptId& attempt,
               const base::BudgetId& budget,
               base::Tokens amount,
               SpenderOutput& out);
  void Start(base::Millis now,
             const base::AttemptId& attempt,
             const base::Incarnation& agent,
             SpenderOutput& out);
  void Settle(base::Millis now,
              const base::AttemptId& attempt,
              const base::Incarnation& agent,
              base::Tokens billed,
              SpenderOutput& out);
  void Tick(base::Millis now, SpenderOutput& out);
  template <typename Done>
  void Finish(base::Millis now, const Done& done, SpenderOutput& out) {
    Step(now, done, out);
  }
  // Events for recovery.
  void Report(base::Millis now,
              const ledger::AgentUsageReported& report,
              SpenderOutput& out);
  void UpdateLiveRouters(base::Millis now,
                         const std::set<base::Incarnation>& routers,
                         SpenderOutput& out);

 private:
  void Step(base::Millis now,
            const ledger::BudgetManagerEvent& event,
            SpenderOutput& out);

  SpenderSetup setup_;
  ledger::BudgetManager budget_manager_;
  bool started_ = false;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_POLICY_SPENDER_H_
