#ifndef CLAIMS_CLAIMS_SIMULATION_H_
#define CLAIMS_CLAIMS_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"
#include "claims/claim_writer.h"
#include "support/fake_kv.h"

namespace godwit::claims {

// Simulates the ClaimWriters of several routers, agents that honour claims, and
// callers that retry, in virtual time and with faults.
class ClaimsSimulation {
 public:
  // Defects that the proof must detect.
  enum class InjectedFault {
    kNone,
    // The KV accepts writes regardless of the version that they expect.
    kKvIgnoresVersions,
    // Agents run an attempt again if its message is received twice.
    kAgentRepeatsAttempts,
    // Agents start attempts that were tombstoned.
    kAgentIgnoresTombstones,
    // Routers replace the claim of an agent that has failed.
    kRouterReplacesClaimsOfFailedAgents,
    // Routers start attempts whose claim could not be stored.
    kRouterStartsUnclaimed,
  };
  enum class Outcome { kOpen, kAnswered, kNotRun, kUnknown };

  ClaimsSimulation(uint64_t seed, InjectedFault fault);

  void StartRouter();
  void StartAgent();
  void KillRouter(size_t index) { routers_[index].failed = true; }
  void KillAgent(size_t index) { agents_[index].failed = true; }
  void PauseRouter(size_t index, bool paused);
  void PauseAgent(size_t index, bool paused);
  support::FakeKv& kv() { return kv_; }
  size_t routers() const { return routers_.size(); }
  size_t agents() const { return agents_.size(); }

  // A caller sends the request for a key through a router.
  void Request(size_t router, int key);
  void Advance(base::Millis span);
  // Ends all faults and waits for all answers.
  void Finish();

  // Highest number of executions of any key.
  int MostExecutions() const;
  // True if an attempt ran although its caller was answered "not run".
  bool RanAfterNotRun() const;
  size_t count(Outcome outcome) const;

 private:
  struct Router {
    ClaimWriter writer;
    bool failed = false;
    bool paused = false;
    std::vector<std::function<void()>> inbox;
  };
  enum class Phase { kUnknown, kRan, kTombstoned };
  struct Agent {
    base::Incarnation incarnation;
    bool failed = false;
    bool paused = false;
    std::map<base::AttemptId, Phase> attempts;
  };
  struct Attempt {
    int key = 0;
    size_t router = 0;
    size_t agent = 0;
    Outcome outcome = Outcome::kOpen;
    int executions = 0;
  };
  struct Message {
    bool to_router = false;
    size_t target = 0;
    std::function<void()> deliver;
  };

  void RequestClaim(size_t router, int key, const base::AttemptId& replaces);
  void Step(size_t router, const ClaimEvent& event);
  void Handle(size_t router, const ClaimWon& command);
  void Handle(size_t router, const ClaimExists& command);
  void Handle(size_t router, const ClaimUnavailable& command);
  void Handle(size_t router, const platform::KvRead& command);
  void Handle(size_t router, const platform::KvWrite& command);
  void SendStart(const base::AttemptId& attempt);
  void Start(size_t agent, const base::AttemptId& attempt);
  // Requests that an agent tombstone an attempt; the reply receives the
  // resulting phase.
  void Tombstone(size_t router,
                 size_t agent,
                 const base::AttemptId& attempt,
                 const std::function<void(Phase)>& reply);
  void End(const base::AttemptId& attempt, Outcome outcome);
  void Send(bool to_router, size_t target, std::function<void()> deliver);
  bool Chance(uint64_t percent) { return random_() % 100 < percent; }
  size_t AgentOf(const base::Incarnation& incarnation) const;

  std::mt19937_64 random_;
  InjectedFault injected_fault_;
  support::FakeKv kv_;
  base::Millis now_;
  std::vector<Router> routers_;
  std::vector<Agent> agents_;
  std::multimap<base::Millis, Message> messages_;
  std::map<base::AttemptId, Attempt> attempts_;
  std::map<int, int> executions_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIMS_SIMULATION_H_
