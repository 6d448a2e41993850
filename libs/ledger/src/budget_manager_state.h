#ifndef LEDGER_BUDGET_MANAGER_STATE_H_
#define LEDGER_BUDGET_MANAGER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "edit_planner.h"
#include "grant_recovery.h"
#include "ledger/budget_manager.h"
#include "local_budget.h"
#include "shard_view.h"

namespace godwit::ledger {

// State machine of BudgetManager.
struct BudgetManager::State {
 public:
  State(const base::Incarnation& self, BudgetManagerPolicy policy);

  std::vector<BudgetManagerCommand> Step(base::Millis now,
                                         const BudgetManagerEvent& event);

  bool MaySpendAt(const base::GrantId& grant,
                  const base::Incarnation& agent) const;
  size_t open_reservations() const noexcept { return reservations_.size(); }
  base::Tokens available(const base::BudgetId& budget) const;

 private:
  // One ledger key and the schedule of its reads and writes.
  struct Shard {
    explicit Shard(std::string key) : view(std::move(key)) {}

    ShardView view;
    // Something changed that may have to be written without delay.
    bool has_changes = false;
    // Something changed that can be written once the settle period has passed.
    bool has_deferred_changes = false;
    base::Millis last_write_at;
    base::Millis retry_at;
    base::Millis scan_at;
    std::set<base::BudgetId> budgets;
  };

  struct Reservation {
    base::BudgetId budget;
    base::GrantId grant;
    base::Tokens amount = 0;
    std::optional<base::Incarnation> agent;
  };

  // Event handlers.
  void On(const ReserveRequested& event);
  void On(const RunStarted& event);
  void On(const RunSettled& event);
  void On(const RunReleased& event);
  void On(const AgentsChanged& event);
  void On(const AgentRemoved& event);
  void On(const AgentsListed& event);
  void On(const AgentUsageReported& event);
  void On(const LiveHoldersListed& event);
  void On(const DrainRequested& event);
  void On(const Tick& event);
  void On(const platform::KvReadDone& event);
  void On(const platform::KvWriteDone& event);

  // Reservations.
  //
  // Called when some of the budget's reservations ended.
  void OnTokensFreed(LocalBudget& local);
  LocalBudget& BudgetOf(const base::BudgetId& id);
  // Returns the budget's grant, or null if it has been replaced by another one.
  HeldGrant* GrantOf(const base::BudgetId& budget, const base::GrantId& grant);
  base::Tokens Available(const LocalBudget& local) const;
  bool TryReserve(LocalBudget& local, const ReserveRequested& request);
  bool HasUsableAgent(const LocalBudget& local,
                      const ReserveRequested& request) const;
  void ServeWaiting(LocalBudget& local);
  // Returns the refusal of a waiting request, or no value while the request may
  // still be granted.
  std::optional<ReserveRefused> FindRefusal(
      const LocalBudget& local,
      const LocalBudget::Waiting& waiting);
  ReserveRefused TimeoutRefusal(const LocalBudget& local,
                                const LocalBudget::Waiting& waiting) const;
  std::optional<ReserveRefused> ExhaustedRefusal(
      const LocalBudget& local,
      const Budget& budget,
      const LocalBudget::Waiting& waiting) const;

  // KV reads and writes.
  template <typename Done>
  void OnDone(const Done& done);
  Shard& ShardOfBudget(const LocalBudget& local);
  const Shard& ShardOfBudget(const LocalBudget& local) const;
  void OnRecordAdopted(Shard& shard, const LedgerRecord& before);
  void ForgetClosed(const LedgerRecord& before, const LedgerRecord& after);
  void SyncGrant(Shard& shard, LocalBudget& local);
  void DropRemovedAgents(const Grant& stored, HeldGrant& grant);
  void StartOperationIfDue(Shard& shard);
  bool WriteIfDue(Shard& shard);
  bool ReadIsDue(const Shard& shard) const;
  base::Millis PollPeriod(const Shard& shard) const;
  bool IsNearEnd(const Budget& budget) const;
  void AbandonOverdueOperations();
  bool IsKvUnavailable(const Shard& shard) const;
  void ReportDrained();

  base::Incarnation self_;
  BudgetManagerPolicy policy_;
  EditPlanner planner_;
  GrantRecovery recovery_;
  std::vector<Shard> shards_;
  std::map<base::BudgetId, LocalBudget> budgets_;
  std::unordered_map<base::AttemptId, Reservation> reservations_;
  std::set<base::Incarnation> usable_;
  std::map<base::GrantId, base::BudgetId> grant_budgets_;
  // Index of the shard of each operation in flight.
  std::map<int64_t, size_t> operations_;
  size_t live_routers_ = 0;
  bool draining_ = false;
  bool reported_drained_ = false;
  std::optional<base::Millis> kv_failing_since_;
  int64_t next_operation_ = 1;
  // Time and commands of the step in progress.
  base::Millis now_;
  std::vector<BudgetManagerCommand> commands_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MANAGER_STATE_H_
