#ifndef LEDGER_LEDGER_SIMULATION_H_
#define LEDGER_LEDGER_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "fake_agent.h"
#include "ledger/budget_manager.h"
#include "ledger/ledger_record.h"
#include "support/fake_kv.h"

namespace godwit::ledger {

// Simulation of several BudgetManagers, a KV and agents in virtual time, with
// faults.
class LedgerSimulation {
 public:
  // Faults that the property tests must detect.
  enum class InjectedFault {
    kNone,
    // The KV stores writes regardless of the version they expect.
    kKvIgnoresVersions,
    // Agents start runs under sealed grants.
    kAgentIgnoresSeal,
    // Agents omit a run from their reports.
    kAgentOmitsRun,
    // Routers close lost grants without requesting the agents' reports.
    kRecoverySkipsAgents,
    // Routers treat a run as released when its end arrives.
    kRouterDropsBills,
    // Routers start attempts that were refused.
    kRouterStartsRefused,
  };

  LedgerSimulation(uint64_t seed, InjectedFault injected);

  // Processes.
  void StartRouter();
  void StartAgent();
  void KillRouter(size_t index);
  void KillAgent(size_t index);
  void PauseRouter(size_t index, bool paused);
  void PauseAgent(size_t index, bool paused);
  // Marks an agent as removed in the fleet record, whether or not it has
  // terminated.
  void MarkRemoved(size_t index);

  // Network.
  void PartitionFromKv(size_t router, bool partitioned);
  void PartitionLink(size_t router, size_t agent, bool partitioned);
  support::FakeKv& kv() { return kv_; }

  // Workload.
  void Request(size_t router, base::Tokens amount);
  // An operator's top-up, sent twice with the same operation id.
  void TopUp(const std::string& operation, base::Tokens amount);
  void Advance(base::Millis span);

  // Ends all faults, drains the routers, and lets a new router recover the
  // remaining grants. Returns false if grants remain after kFinishTimeout.
  bool Finish();

  // Observations.
  base::Millis now() const { return now_; }
  size_t routers() const { return routers_.size(); }
  size_t agents() const { return agents_.size(); }
  // Returns the budget stored in the KV.
  Budget StoredBudget() const;
  // True if the stored record can be decoded and keeps its invariant.
  bool RecordIsValid() const;
  // Returns the bills of ended runs plus the reservations of the others.
  base::Tokens Committed() const;
  // Returns the bills of runs whose end was reported to a caller.
  base::Tokens Answered() const;
  // Returns the bills of all ended runs.
  base::Tokens Ended() const;
  // True if no refused attempt ran.
  bool RefusedNeverRan() const;
  // Returns the number of unanswered reservation requests at routers that still
  // run.
  size_t Unanswered() const;
  size_t granted() const { return granted_; }
  size_t refused() const { return refused_.size(); }
  const std::map<base::AttemptId, base::Error>& refusals() const {
    return refused_;
  }
  size_t drained() const { return drained_; }
  bool HasRemovedAgent() const { return !removed_.empty(); }

 private:
  struct Router {
    Router(const base::Incarnation& self, const BudgetManagerPolicy& policy)
        : incarnation(self), manager(self, policy) {}

    base::Incarnation incarnation;
    BudgetManager manager;
    bool terminated = false;
    bool paused = false;
    base::Millis lease_renewed_at;
    base::Millis next_tick;
    base::Millis next_lease_read;
    size_t processed_removals = 0;
    // Attempts sent to agents whose end has not been received.
    std::map<base::AttemptId, size_t> running;
    std::set<base::AttemptId> waiting;
    std::map<base::AttemptId, base::Tokens> amounts;
    std::deque<BudgetManagerEvent> inbox;
  };
  struct Agent {
    explicit Agent(base::Incarnation self) : core(std::move(self)) {}

    FakeAgent core;
    bool terminated = false;
    bool paused = false;
  };
  struct Message {
    size_t router = 0;
    size_t agent = 0;
    bool to_router = false;
    std::function<void()> deliver;
  };

  void Step(size_t router, const BudgetManagerEvent& event);
  void Handle(size_t router, const ReserveGranted& command);
  void Handle(size_t router, const ReserveRefused& command);
  void Handle(size_t router, const SendSealGrant& command);
  void Handle(size_t router, const SendForgetGrant& command);
  void Handle(size_t router, const Drained& command);
  void Handle(size_t router, const platform::KvRead& command);
  void Handle(size_t router, const platform::KvWrite& command);
  void StartRun(size_t router,
                const base::AttemptId& attempt,
                const base::GrantId& grant,
                size_t agent);
  void EndRun(const FakeAgent::Run& run, size_t agent);
  void AgentSeals(size_t router, size_t agent, const base::GrantId& grant);
  void ProcessRemovals(size_t router);
  void NotifyUsable(size_t router);
  void TickRouter(size_t router);
  std::set<base::Incarnation> LiveRouters() const;
  bool ReachesKv(size_t router) const;

  void Send(size_t router,
            size_t agent,
            bool to_router,
            std::function<void()> deliver);
  void DeliverMessages();
  void DeliverAnswers();
  void AdvanceAgents();
  base::Millis Latency();
  size_t AgentOf(const base::Incarnation& incarnation) const;
  LedgerRecord StoredRecord() const;

  std::mt19937_64 random_;
  InjectedFault injected_fault_;
  support::FakeKv kv_;
  base::Millis now_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::multimap<base::Millis, Message> messages_;
  std::set<std::pair<size_t, size_t>> partitioned_links_;
  std::vector<size_t> removed_;
  int next_attempt_ = 1;
  size_t granted_ = 0;
  size_t drained_ = 0;
  std::map<base::AttemptId, base::Error> refused_;
  std::set<base::AttemptId> abandoned_;
  std::map<base::AttemptId, base::Tokens> answered_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_SIMULATION_H_
