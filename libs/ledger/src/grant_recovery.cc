#include "grant_recovery.h"

#include <algorithm>
#include <iterator>

namespace godwit::ledger {

std::set<base::Incarnation> GrantRecovery::FindDropped(
    const std::vector<const LedgerRecord*>& records,
    const std::set<base::Incarnation>& listed) {
  std::set<base::Incarnation> missing;
  for (const LedgerRecord* record : records) {
    for (const auto& [budget_id, budget] : record->budgets) {
      for (const auto& [id, grant] : budget.grants) {
        const bool needs_report =
            grant.holder == self_ || grant.state == GrantState::kSealed;
        for (const auto& [agent, account] : grant.agents) {
          if (needs_report && account.state == AccountState::kOpen &&
              listed.count(agent) == 0 && !IsRemoved(agent)) {
            missing.insert(agent);
          }
        }
      }
    }
  }
  std::set<base::Incarnation> dropped;
  std::set_intersection(missing.begin(), missing.end(), missing_.begin(),
                        missing_.end(), std::inserter(dropped, dropped.end()));
  missing_ = std::move(missing);
  return dropped;
}

void GrantRecovery::AddReport(const AgentUsageReported& report) {
  if (report.sealed && report.running == 0) {
    reports_[{report.grant, report.agent}] = report.billed;
  }
}

void GrantRecovery::UpdateLost(const LedgerRecord& record,
                               const std::set<base::Incarnation>& live) {
  for (const auto& [budget_id, budget] : record.budgets) {
    for (const auto& [id, grant] : budget.grants) {
      const bool is_live =
          grant.holder == self_ || live.count(grant.holder) != 0;
      if (is_live) {
        lost_.erase(id);
      } else {
        lost_.insert(id);
      }
    }
  }
}

bool GrantRecovery::Advance(LedgerEdit& edit) const {
  struct Recovered {
    base::BudgetId budget;
    base::GrantId id;
    Grant grant;
  };
  std::vector<Recovered> recovered;
  for (const auto& [budget_id, budget] : edit.record().budgets) {
    for (const auto& [id, grant] : budget.grants) {
      if (grant.state == GrantState::kSealed || lost_.count(id) != 0) {
        recovered.push_back({budget_id, id, grant});
      }
    }
  }
  bool advanced = false;
  for (const Recovered& entry : recovered) {
    advanced |= AdvanceGrant(edit, entry.budget, entry.id, entry.grant);
  }
  return advanced;
}

bool GrantRecovery::AdvanceGrant(LedgerEdit& edit,
                                 const base::BudgetId& budget,
                                 const base::GrantId& grant,
                                 const Grant& state) const {
  bool advanced =
      state.state == GrantState::kActive && edit.Seal(budget, grant);
  advanced |= AdvanceAccounts(edit, budget, grant, state);
  advanced |= edit.Close(budget, grant);
  return advanced;
}

bool GrantRecovery::AdvanceAccounts(LedgerEdit& edit,
                                    const base::BudgetId& budget,
                                    const base::GrantId& grant,
                                    const Grant& state) const {
  bool advanced = false;
  for (const auto& [agent, account] : state.agents) {
    if (account.state != AccountState::kOpen) {
      continue;
    }
    const auto report = reports_.find({grant, agent});
    if (report != reports_.end()) {
      advanced |= edit.FinishAgent(budget, grant, agent, report->second);
    } else if (IsRemoved(agent)) {
      advanced |= edit.MarkAgentLost(budget, grant, agent);
    }
  }
  return advanced;
}

void GrantRecovery::RequestReports(
    base::Millis now,
    const LedgerRecord& record,
    std::vector<BudgetManagerCommand>& commands) {
  for (const auto& [budget_id, budget] : record.budgets) {
    for (const auto& [id, grant] : budget.grants) {
      if (grant.state != GrantState::kSealed) {
        continue;
      }
      const auto [last, is_first] = requested_at_.emplace(id, now);
      if (!is_first && now - last->second < seal_retry_interval_) {
        continue;
      }
      last->second = now;
      for (const auto& [agent, account] : grant.agents) {
        if (account.state == AccountState::kOpen && !IsRemoved(agent) &&
            reports_.count({id, agent}) == 0) {
          commands.emplace_back(SendSealGrant{agent, id});
        }
      }
    }
  }
}

void GrantRecovery::Forget(const base::GrantId& grant) {
  lost_.erase(grant);
  requested_at_.erase(grant);
  const auto first = reports_.lower_bound({grant, base::Incarnation()});
  auto last = first;
  while (last != reports_.end() && last->first.first == grant) {
    ++last;
  }
  reports_.erase(first, last);
}

}  // namespace godwit::ledger
