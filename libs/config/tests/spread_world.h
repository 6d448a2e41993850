#ifndef CONFIG_TESTS_SPREAD_WORLD_H_
#define CONFIG_TESTS_SPREAD_WORLD_H_

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
#include "config/apply.h"
#include "config/spread.h"
#include "fake_config_kv.h"
#include "planted_fault.h"

namespace godwit::config {

// Several Spread machines and operators around one KV in virtual time, with
// faults, and the oracle that watches them. Routers link to every agent.
class SpreadWorld {
 public:
  static constexpr size_t kRouters = 2;
  static constexpr size_t kProcesses = 5;
  static constexpr size_t kOperators = 2;

  SpreadWorld(uint64_t seed, PlantedFault fault);

  // Faults and load. Indices are taken modulo what there is.
  void Advance(base::Millis span);
  void StartApply(size_t operator_index, bool valid);
  void ToggleOutage();
  void ToggleLostAnswers();
  void ToggleChaos();
  void ToggleLink(size_t router, size_t agent);
  void ToggleKvCut(size_t process);
  void TogglePause(size_t process);
  void Restart(size_t process);

  // Ends every fault but an outage of the KV, then that too, and checks that
  // all processes agree each time.
  void HealAndCheck();

  // What the oracle found first; empty for nothing.
  const std::string& violation() const noexcept { return violation_; }
  int64_t accepted() const noexcept { return accepted_; }
  int64_t adopted() const noexcept { return adopted_; }

 private:
  struct Process {
    std::unique_ptr<Spread> spread;
    int64_t life = 0;
    bool paused = false;
    bool cut_from_kv = false;
    base::Millis started;
    int64_t in_force = 0;
    bool serves = false;
    bool kv_failed = false;
    // Least revision to serve with, by what the KV and the peers had at start.
    int64_t kv_floor = 0;
    int64_t peer_floor = 0;
    std::vector<SpreadEvent> inbox;
  };
  struct Operator {
    std::unique_ptr<Apply> apply;
    std::string text;
    int64_t expected = 0;
  };

  void StartLife(size_t index);
  void Deliver(size_t index, const SpreadEvent& event);
  void Obey(size_t index, const SpreadCommand& command);
  void Adopt(size_t index, const Config& config);
  void Send(size_t from, size_t to, const SpreadEvent& event);
  void AskKv(size_t index, const WatchKv& watch);
  void AnswerWatch(size_t index,
                   int64_t life,
                   const WatchKv& watch,
                   base::Millis until);
  void StepOperator(size_t index);
  void Write(size_t index, const platform::KvWrite& write);
  void FinishApply(size_t index, const ApplyResult& result);
  void CheckServing(size_t index);
  void CheckAgreement(int64_t revision, const char* when);
  void Heartbeats();
  void Violate(const std::string& what);

  bool Linked(size_t a, size_t b) const;
  bool LinksCalmSince(base::Millis time) const;
  // The KV's revision, or 0 when its text can't be put in force.
  int64_t ReadableRevision() const;
  int64_t NewestInForce() const;
  bool Chance(int percent);
  base::Millis Delay();
  void At(base::Millis time, std::function<void()> action);

  std::mt19937_64 random_;
  const PlantedFault fault_;
  base::Millis now_;
  std::multimap<base::Millis, std::function<void()>> agenda_;
  FakeConfigKv kv_;
  bool outage_ = false;
  bool lost_answers_ = false;
  bool chaos_ = false;
  std::set<std::pair<size_t, size_t>> cut_links_;
  base::Millis last_trouble_;
  std::vector<Process> processes_;
  std::vector<Operator> operators_;
  int64_t texts_ = 0;
  int64_t accepted_ = 0;
  int64_t adopted_ = 0;
  std::string violation_;
};

}  // namespace godwit::config

#endif  // CONFIG_TESTS_SPREAD_WORLD_H_
