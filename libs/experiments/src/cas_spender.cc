#include "cas_spender.h"

#include <utility>

namespace godwit::experiments {
namespace {

// Longest time that a request waits for its compare-and-swap.
constexpr base::Millis kReserveTimeout(1000);

}  // namespace

CasSpender::CasSpender(const SpenderSetup& setup)
    : self_(setup.self), queue_(setup.shard_count, kReserveTimeout) {}

void CasSpender::Reserve(base::Millis now,
                         const base::AttemptId& attempt,
                         const base::BudgetId& budget,
                         base::Tokens amount,
                         SpenderOutput& out) {
  budgets_[attempt] = budget;
  const base::GrantId grant(attempt.value());
  queue_.Add(
      now, budget,
      [=, self = self_](ledger::LedgerEdit& edit) {
        const auto& grants = edit.record().budgets.at(budget).grants;
        return grants.count(grant) != 0 ||
               edit.Draw(budget, grant, self, amount);
      },
      [this, attempt, grant](bool stored) {
        if (stored) {
          ready_.granted.push_back({attempt, grant});
        } else {
          ready_.refused.push_back(attempt);
        }
      });
  queue_.Tick(now, out);
  Drain(out);
}

void CasSpender::Settle(base::Millis now,
                        const base::AttemptId& attempt,
                        const base::Incarnation& agent,
                        base::Tokens billed,
                        SpenderOutput& out) {
  const base::BudgetId budget = budgets_[attempt];
  budgets_.erase(attempt);
  const base::GrantId grant(attempt.value());
  queue_.Add(
      now, budget,
      [=](ledger::LedgerEdit& edit) {
        return edit.ListAgents(budget, grant, {agent}) &&
               edit.Settle(budget, grant, agent, billed) &&
               edit.ReturnGrant(budget, grant);
      },
      nullptr);
  queue_.Tick(now, out);
  Drain(out);
}

void CasSpender::Tick(base::Millis now, SpenderOutput& out) {
  queue_.Tick(now, out);
  Drain(out);
}

void CasSpender::Drain(SpenderOutput& out) {
  out.granted.insert(out.granted.end(), ready_.granted.begin(),
                     ready_.granted.end());
  out.refused.insert(out.refused.end(), ready_.refused.begin(),
                     ready_.refused.end());
  ready_ = SpenderOutput();
}

}  // namespace godwit::experiments
