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

// Collects the information needed to close the grants of lost routers: which
// holders are lost, and the agents' usage reports of sealed grants.
class GrantRecovery {
 public:
  GrantRecovery(base::Incarnation self, base::Millis seal_retry_interval)
      : self_(std::move(self)), seal_retry_interval_(seal_retry_interval) {}

  void AddRemoved(const base::Incarnation& agent) { removed_.insert(agent); }
  bool IsRemoved(const base::Incarnation& agent) const {
    return removed_.count(agent) != 0;
  }

  // Returns the agents that are listed under this router's grants or under
  // sealed ones, and that were missing from the fleet record both in this read
  // and in the one before.
  std::set<base::Incarnation> FindDropped(
      const std::vector<const LedgerRecord*>& records,
      const std::set<base::Incarnation>& listed);

  // Stores the report if it is final, i.e. the grant is sealed and nothing runs
  // under it.
  void AddReport(const AgentUsageReported& report);

  // Marks the grants whose holders are not live for sealing. The record must
  // have been read before the list of live holders, because a holder draws only
  // after its lease exists.
  void UpdateLost(const LedgerRecord& record,
                  const std::set<base::Incarnation>& live);

  // Adds the next step of each recovery to the edit. Returns true if any was
  // added.
  bool Advance(LedgerEdit& edit) const;

  // Requests the missing reports from the agents, at most once per retry
  // interval for each grant.
  void RequestReports(base::Millis now,
                      const LedgerRecord& record,
                      std::vector<BudgetManagerCommand>& commands);

  // Drops the state of a grant that was closed in the ledger.
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
  // Agents missing from the fleet record at the last call of FindDropped.
  std::set<base::Incarnation> missing_;
  std::set<base::GrantId> lost_;
  std::map<ReportKey, base::Tokens> reports_;
  std::map<base::GrantId, base::Millis> requested_at_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_RECOVERY_H_
