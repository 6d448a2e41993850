#ifndef LEDGER_GRANT_RECOVERY_H_
#define LEDGER_GRANT_RECOVERY_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/agent_usage_reported.h"
#include "ledger/budget_manager_command.h"
#include "ledger/ledger_edit.h"

namespace godwit::ledger {

// Collects what closes the grants of lost routers: which holders are gone, and
// what the agents report of sealed grants.
class GrantRecovery {
 public:
  GrantRecovery(base::Incarnation self, base::Millis seal_retry_interval)
      : self_(std::move(self)), seal_retry_interval_(seal_retry_interval) {}

  void AddRemoved(const base::Incarnation& agent) { removed_.insert(agent); }
  bool IsRemoved(const base::Incarnation& agent) const {
    return removed_.count(agent) != 0;
  }

  // Agents under this router's grants and under sealed ones that the fleet
  // record did not name this time nor the time before.
  std::set<base::Incarnation> FindDropped(
      const std::vector<const LedgerRecord*>& records,
      const std::set<base::Incarnation>& listed);

  // Keeps a report that is final: sealed with nothing running.
  void AddReport(const AgentUsageReported& report);

  // Marks for sealing the grants whose holders are not alive. The record must
  // have been read before the list of live holders, because a holder draws
  // only once its lease stands.
  void UpdateLost(const LedgerRecord& record,
                  const std::set<base::Incarnation>& live);

  // Adds the next steps of every recovery to the edit; true when there were
  // some.
  bool Advance(LedgerEdit& edit) const;

  // Asks, at most once in a retry period, the agents whose reports are due.
  void RequestReports(base::Millis now,
                      const LedgerRecord& record,
                      std::vector<BudgetManagerCommand>& commands);

  // Drops what was collected for a grant that the ledger has closed.
  void Forget(const base::GrantId& grant);

 private:
  using ReportKey = std::pair<base::GrantId, base::Incarnation>;

  bool AdvanceGrant(LedgerEdit& edit,
                    const base::BudgetId& budget,
                    const base::GrantId& grant,
                    const Grant& state) const;
  bool AdvanceAccounts(LedgerEdit& edit,
                       const base::BudgetId& budget,
                       const base::GrantId& grant,
                       const Grant& state) const;

  base::Incarnation self_;
  base::Millis seal_retry_interval_;
  std::set<base::Incarnation> removed_;
  // Missing from the fleet record when last told.
  std::set<base::Incarnation> missing_;
  std::set<base::GrantId> lost_;
  std::map<ReportKey, base::Tokens> reports_;
  std::map<base::GrantId, base::Millis> requested_at_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_RECOVERY_H_
