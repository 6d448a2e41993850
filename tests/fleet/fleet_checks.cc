#include <algorithm>
#include <string>

#include "fleet_simulation.h"
#include "ledger/ledger_record.h"

namespace godwit::fleet {
namespace {

constexpr base::Millis kAnswerLimit = base::Seconds(30);
// A key whose directory copies were all lost stays undecided for ten minutes.
constexpr base::Millis kFinishLimit = base::Seconds(900);

}  // namespace

bool FleetSimulation::Finish() {
  finishing_ = true;
  kv_.faults() = support::FakeKv::Faults();
  kv_.faults().ignores_versions =
      injected_fault_ == InjectedFault::kKvIgnoresVersions;
  partitioned_links_.clear();
  for (size_t i = 0; i < routers_.size(); ++i) {
    routers_[i].paused = false;
    routers_[i].partitioned_from_kv = false;
  }
  for (AgentProcess& process : agents_) {
    process.paused = false;
    process.failures = 0;
  }
  Advance(kAnswerLimit);
  for (size_t i = 0; i < routers_.size(); ++i) {
    if (!routers_[i].terminated) {
      routers_[i].inbox.emplace_back(router::DrainRequested());
    }
  }
  const base::Millis limit = now_ + kFinishLimit;
  while (now_ < limit && violation_.empty()) {
    Advance(base::Seconds(1));
    const bool drained =
        std::all_of(routers_.begin(), routers_.end(),
                    [](const auto& r) { return r.terminated || r.drained; });
    if (drained) {
      break;
    }
  }
  StartRouter();
  while (now_ < limit && violation_.empty()) {
    Advance(base::Seconds(1));
    const auto& budgets = StoredLedger().budgets;
    if (budgets.begin()->second.grants.empty()) {
      return true;
    }
  }
  return !violation_.empty();
}

std::string FleetSimulation::CheckEnd() const {
  const ledger::LedgerRecord record = StoredLedger();
  const ledger::Budget& budget = record.budgets.begin()->second;
  if (budget.billed + budget.held > limit_) {
    return "more was spent than prepaid";
  }
  base::Tokens left = budget.billed / BackendModel::kSmallestBill;
  for (size_t i = 0; i < requests_.size(); ++i) {
    const Request& request = requests_[i];
    const int64_t times = left % 4;
    left /= 4;
    const std::string name = "request " + request.body;
    if (times > 1) {
      return name + " was billed " + std::to_string(times) + " times";
    }
    if (request.answered && times == 0 && budget.held == 0) {
      return name + " was answered but not billed";
    }
    const int64_t executions = backend_.executions(request.body);
    if (times > 0 && executions == 0) {
      return name + " was billed but never ran";
    }
    if (!request.kind.repeatable && executions > 1) {
      return name + " ran " + std::to_string(executions) + " times";
    }
    if (request.last_not_run && executions > 0) {
      return name + " ran after its caller was told that it did not";
    }
  }
  return left == 0 ? "" : "more was billed than was requested";
}

std::string FleetSimulation::Describe() const {
  const ledger::LedgerRecord record = StoredLedger();
  const ledger::Budget& budget = record.budgets.begin()->second;
  std::string text = "limit " + std::to_string(budget.limit) + " billed " +
                     std::to_string(budget.billed) + " held " +
                     std::to_string(budget.held) + "\n";
  for (const auto& [id, grant] : budget.grants) {
    text += "grant " + id.value() + " of " + grant.holder.value() + " amount " +
            std::to_string(grant.amount) +
            (grant.state == ledger::GrantState::kSealed ? " sealed" : "") +
            "\n";
    for (const auto& [agent, account] : grant.agents) {
      text += "  " + agent.value() + " billed " +
              std::to_string(account.billed) + " state " +
              std::to_string(static_cast<int>(account.state)) + "\n";
    }
  }
  for (const RouterProcess& process : routers_) {
    text += process.incarnation.value() +
            (process.terminated ? " terminated" : "") +
            (process.drained ? " drained" : "") +
            (process.terminated
                 ? ""
                 : " open " + std::to_string(process.core->open_calls())) +
            "\n";
  }
  for (const RouterProcess& process : routers_) {
    for (const auto& call : process.terminated ? std::vector<router::OpenCall>()
                                               : process.core->OpenCalls()) {
      text += "  " + call.attempt.value() + " at " + call.agent.value() + " " +
              std::string(call.phase) + "\n";
    }
  }
  for (const AgentProcess& process : agents_) {
    text += process.incarnation.value() +
            (process.core->leaving() ? " leaving" : "") + "\n";
  }
  for (size_t i = 0; i < requests_.size(); ++i) {
    text += "request " + requests_[i].body +
            (requests_[i].answered ? " answered" : "") + " executions " +
            std::to_string(backend_.executions(requests_[i].body)) + " open " +
            std::to_string(requests_[i].open.size()) + "\n";
  }
  return text;
}

}  // namespace godwit::fleet
