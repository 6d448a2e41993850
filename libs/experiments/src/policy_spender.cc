#include "policy_spender.h"

#include <utility>

namespace godwit::experiments {
namespace {

ledger::BudgetManagerPolicy PolicyFor(const SpenderSetup& setup) {
  ledger::BudgetManagerPolicy policy;
  policy.shard_count = setup.shard_count;
  return policy;
}

// Sorts commands into the lists of the output.
struct CommandSorter {
  SpenderOutput& out;

  void operator()(const ledger::ReserveGranted& command) const {
    out.granted.push_back({command.attempt, command.grant});
  }
  void operator()(const ledger::ReserveRefused& command) const {
    out.refused.push_back(command.attempt);
  }
  void operator()(const ledger::SendSealGrant& command) const {
    out.seals.push_back(command);
  }
  void operator()(const ledger::SendForgetGrant&) const {}
  void operator()(const ledger::Drained&) const {}
  void operator()(const platform::KvRead& command) const {
    out.reads.push_back(command);
  }
  void operator()(const platform::KvWrite& command) const {
    out.writes.push_back(command);
  }
};

}  // namespace

PolicySpender::PolicySpender(const SpenderSetup& setup)
    : setup_(setup), budget_manager_(setup.self, PolicyFor(setup)) {}

void PolicySpender::Step(base::Millis now,
                         const ledger::BudgetManagerEvent& event,
                         SpenderOutput& out) {
  if (!started_) {
    started_ = true;
    Step(now, ledger::AgentsChanged{setup_.agents}, out);
  }
  for (const auto& command : budget_manager_.Step(now, event)) {
    std::visit(CommandSorter{out}, command);
  }
}

void PolicySpender::Reserve(base::Millis now,
                            const base::AttemptId& attempt,
                            const base::BudgetId& budget,
                            base::Tokens amount,
                            SpenderOutput& out) {
  const base::Millis expires = now + base::Seconds(60);
  Step(now, ledger::ReserveRequested{attempt, budget, amount, {}, expires},
       out);
}

void PolicySpender::Start(base::Millis now,
                          const base::AttemptId& attempt,
                          const base::Incarnation& agent,
                          SpenderOutput& out) {
  Step(now, ledger::RunStarted{attempt, agent}, out);
}

void PolicySpender::Settle(base::Millis now,
                           const base::AttemptId& attempt,
                           const base::Incarnation& agent,
                           base::Tokens billed,
                           SpenderOutput& out) {
  Step(now, ledger::RunSettled{attempt, agent, billed}, out);
}

void PolicySpender::Tick(base::Millis now, SpenderOutput& out) {
  Step(now, ledger::Tick{}, out);
}

void PolicySpender::Report(base::Millis now,
                           const ledger::AgentUsageReported& report,
                           SpenderOutput& out) {
  Step(now, report, out);
}

void PolicySpender::UpdateLiveRouters(
    base::Millis now,
    const std::set<base::Incarnation>& routers,
    SpenderOutput& out) {
  Step(now, ledger::LiveHoldersListed{routers}, out);
}

}  // namespace godwit::experiments
