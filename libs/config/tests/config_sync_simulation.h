#ifndef CONFIG_TESTS_CONFIG_SYNC_SIMULATION_H_
#define CONFIG_TESTS_CONFIG_SYNC_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "config/apply_operation.h"
#include "config/config_sync.h"
#include "fake_config_kv.h"
#include "injected_fault.h"

namespace godwit::config {

// Simulates several ConfigSync instances and operators with one KV in virtual
// time under injected faults, and checks them against an oracle. Every router
// links to every agent.
class ConfigSyncSimulation {
 public:
  static constexpr size_t kRouters = 2;
  static constexpr size_t kProcesses = 5;
  static constexpr size_t kOperators = 2;

  ConfigSyncSimulation(uint64_t seed, InjectedFault fault);

  // Faults and load. Each index is used modulo the number of elements.
  void Advance(base::Millis span);
  void StartApply(size_t operator_index, bool valid);
  void ToggleOutage();
  void ToggleLostAnswers();
  void ToggleMessageFaults();
  void ToggleLink(size_t router, size_t agent);
  void ToggleKvConnection(size_t process);
  void TogglePause(size_t process);
  void Restart(size_t process);

  // Ends all faults except an outage of the KV, then the outage, and checks
  // after each step that all processes agree.
  void RecoverAndCheck();

  // The first violation that the oracle found; empty for none.
  const std::string& violation() const noexcept { return violation_; }
  int64_t accepted() const noexcept { return accepted_; }
  int64_t activated() const noexcept { return activated_; }

 private:
  struct Process {
    std::unique_ptr<ConfigSync> config_sync;
    int64_t incarnation = 0;
    bool paused = false;
    bool disconnected_from_kv = false;
    base::Millis started_at;
    int64_t active_revision = 0;
    bool serves = false;
    bool kv_failed = false;
    // Lowest revisions with which the process may start to serve: those of the
    // KV and of the peers at its start.
    int64_t min_kv_revision = 0;
    int64_t min_peer_revision = 0;
    std::vector<ConfigSyncEvent> inbox;
  };
  struct Operator {
    std::unique_ptr<ApplyOperation> apply;
    std::string text;
    int64_t expected = 0;
  };

  void StartIncarnation(size_t index);
  void Deliver(size_t index, const ConfigSyncEvent& event);
  void Execute(size_t index, const ConfigSyncCommand& command);
  void OnActivated(size_t index, const Config& config);
  void Send(size_t from, size_t to, const ConfigSyncEvent& event);
  void StartWatch(size_t index, const WatchKv& watch);
  void TryAnswerWatch(size_t index,
                      int64_t incarnation,
                      const WatchKv& watch,
                      base::Millis until);
  void StepOperator(size_t index);
  void Write(size_t index, const platform::KvWrite& write);
  void FinishApply(size_t index, const ApplyResult& result);
  void CheckServing(size_t index);
  void CheckAgreement(int64_t revision, const char* phase);
  void SendHeartbeats();
  void ReportViolation(const std::string& description);

  bool Linked(size_t a, size_t b) const;
  bool LinksReliableSince(base::Millis time) const;
  // The revision of the KV, or 0 when its text is invalid.
  int64_t ReadableRevision() const;
  int64_t NewestActiveRevision() const;
  bool Chance(int percent);
  base::Millis Delay();
  void Schedule(base::Millis time, std::function<void()> action);

  std::mt19937_64 random_;
  const InjectedFault fault_;
  base::Millis now_;
  std::multimap<base::Millis, std::function<void()>> scheduled_actions_;
  FakeConfigKv kv_;
  bool outage_ = false;
  bool lost_answers_ = false;
  bool message_faults_ = false;
  std::set<std::pair<size_t, size_t>> partitioned_links_;
  base::Millis last_link_fault_at_;
  std::vector<Process> processes_;
  std::vector<Operator> operators_;
  int64_t text_count_ = 0;
  int64_t accepted_ = 0;
  int64_t activated_ = 0;
  std::string violation_;
};

}  // namespace godwit::config

#endif  // CONFIG_TESTS_CONFIG_SYNC_SIMULATION_H_
