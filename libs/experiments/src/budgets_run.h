#ifndef EXPERIMENTS_BUDGETS_RUN_H_
#define EXPERIMENTS_BUDGETS_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "budget_oracle.h"
#include "budget_workload.h"
#include "experiments/budgets_result.h"
#include "ledger/agent_usage_reported.h"
#include "spender.h"
#include "spender_output.h"
#include "support/fake_kv.h"

namespace godwit::experiments {

// The spending strategies that are compared.
enum class SpenderKind { kPolicy, kCasForEach, kEvenSplit, kFixedGrants };

// Runs one workload under one spending strategy, in virtual time.
class BudgetsRun {
 public:
  BudgetsRun(const BudgetWorkload& workload, SpenderKind kind, uint64_t seed);

  BudgetsResult Run();

 private:
  struct Router {
    Router(base::Incarnation incarnation, int client_number)
        : self(std::move(incarnation)), client(client_number) {}

    base::Incarnation self;
    int client;
    bool lost = false;
    std::unique_ptr<Spender> spender;
  };
  struct Attempt {
    const BudgetRequest* request = nullptr;
    size_t router = 0;
    base::Millis at;
  };
  struct AgentAccount {
    base::Tokens billed = 0;
    base::Tokens running = 0;
    bool sealed = false;
  };

  void StartRouter(bool original);
  void CreateBudgets();
  void TopUpAll();
  void ApplyFaults();
  void LoseRouter();
  void SendRequests();
  void DeliverAnswers();
  void TickRouters();
  void RunEvents();
  template <typename Action>
  void RunSpender(size_t router, Action action);
  void ExecuteOutput(size_t router, const SpenderOutput& out);
  void Start(size_t router, const SpenderOutput::Granted& granted);
  void End(const base::AttemptId& id, const base::GrantId& grant, size_t agent);
  void Refuse(size_t router, const base::AttemptId& id);
  void Seal(size_t router, const ledger::SendSealGrant& seal);
  bool ReachesKv(size_t router) const;
  std::set<base::Incarnation> LiveRouters() const;
  base::Tokens Stranded() const;
  void Schedule(base::Millis span, std::function<void()> action);

  const BudgetWorkload& workload_;
  SpenderKind kind_;
  std::mt19937_64 random_;
  support::FakeKv kv_;
  BudgetOracle oracle_;
  base::Millis now_;
  std::vector<Router> routers_;
  std::vector<size_t> live_;
  std::vector<base::Incarnation> agents_;
  std::map<std::pair<base::GrantId, size_t>, AgentAccount> accounts_;
  std::map<base::AttemptId, Attempt> attempts_;
  std::multimap<base::Millis, std::function<void()>> events_;
  size_t next_request_ = 0;
  base::Millis next_tick_;
  base::Millis next_live_list_;
  base::Millis next_loss_;
  bool topped_up_ = false;
  BudgetsResult result_;
  std::vector<double> refusal_ms_;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGETS_RUN_H_
