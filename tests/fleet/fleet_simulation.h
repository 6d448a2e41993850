#ifndef FLEET_FLEET_SIMULATION_H_
#define FLEET_FLEET_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agent/agent_core.h"
#include "backend_model.h"
#include "base/ids.h"
#include "base/millis.h"
#include "config/config.h"
#include "injected_fault.h"
#include "ledger/ledger_record.h"
#include "link/message.h"
#include "membership/fleet_record.h"
#include "router/router_core.h"
#include "support/fake_kv.h"

namespace godwit::fleet {

// Simulates routers, agents, a KV, backend servers and callers in virtual time,
// with the faults that a schedule injects. Runs the complete decision code of
// the daemons.
class FleetSimulation {
 public:
  FleetSimulation(uint64_t seed, InjectedFault fault, base::Tokens limit);
  ~FleetSimulation();

  // Process faults. Indices are taken modulo the number of processes.
  void KillRouter(size_t index);
  void RestartAgent(size_t index);
  void PauseRouter(size_t index, bool paused);
  void PauseAgent(size_t index, bool paused);
  // The agent takes no new work and exits once it reports that it is drained; a
  // new incarnation then replaces it.
  void DrainAgent(size_t index);
  // Stops a router gracefully and starts another one in its place. Callers that
  // arrive later are sent to a router that is ready.
  void DrainRouter(size_t index);

  // Network and platform faults.
  void PartitionLink(size_t router, size_t agent, bool partitioned);
  // Existing links stop delivering messages permanently; new links work.
  void StallLinks(size_t router);
  void PartitionFromKv(size_t router, bool partitioned);
  support::FakeKv& kv() { return kv_; }
  // Makes the backend server of `agent` fail some of its next `next_calls`
  // calls.
  void FailBackend(size_t agent, int next_calls) {
    agents_[agent % agents_.size()].failures = next_calls;
  }

  // Callers.
  struct RequestKind {
    bool keyed = true;
    bool repeatable = true;
    bool stream = false;
  };
  // Sends a new request through a router that is ready, if there is one. Sends
  // at most kMaxRequests in total.
  void Send(size_t router, RequestKind kind);
  // Sends an earlier keyed request again, unless it was answered.
  void Retry(size_t router, size_t request);
  // Closes the caller's connections of a request.
  void DisconnectCaller(size_t request);
  void TopUp(base::Tokens amount);
  void Advance(base::Millis span);

  // Clears all faults, waits for open requests, drains the routers and lets
  // grants be recovered. Returns false if grants remain after 15 minutes of
  // virtual time.
  bool Finish();

  // The first violation of a property that must always hold; empty if there is
  // none.
  const std::string& violation() const { return violation_; }
  // Checks the properties that must hold after Finish(); returns the first
  // violation, or an empty string.
  std::string CheckEnd() const;

  // Describes the state of the budget, its grants, the processes and the
  // requests, for the log of a failure.
  std::string Describe() const;

  size_t answered() const;
  size_t refused() const { return refusals_; }
  // The first caller whose answer was interrupted or whose outcome remained
  // unknown; empty if there is none.
  const std::string& interrupted() const { return interrupted_; }

  static constexpr size_t kMaxRequests = 14;

 private:
  struct Connection;
  struct RouterProcess {
    base::ProcessId process;
    base::Incarnation incarnation;
    std::unique_ptr<router::RouterCore> core;
    bool terminated = false;
    bool paused = false;
    bool draining = false;
    bool drained = false;
    bool partitioned_from_kv = false;
    base::Millis lease_renewed_at;
    base::Millis next_leases;
    int64_t fleet_version = 0;
    std::deque<router::RouterEvent> inbox;
  };
  struct BackendRun {
    std::string body;
    std::string remaining;
    base::Millis next_at;
    bool fails = false;
    bool head_sent = false;
  };
  struct AgentProcess {
    base::ProcessId process;
    base::Incarnation incarnation;
    std::unique_ptr<agent::AgentCore> core;
    bool paused = false;
    bool drained = false;
    base::Millis drain_began;
    int failures = 0;
    base::Millis lease_renewed_at;
    std::map<base::AttemptId, BackendRun> runs;
    std::deque<agent::AgentEvent> inbox;
  };
  struct Request {
    std::string body;
    RequestKind kind;
    bool answered = false;
    // Exchanges whose caller is waiting for an answer.
    std::set<router::ExchangeId> open;
    int64_t answers = 0;
    // True if the last reply to the caller stated that the request did not run.
    bool last_not_run = false;
  };
  struct Caller {
    size_t request = 0;
    size_t router = 0;
    std::string bytes;
  };

  // Defined in fleet_simulation.cc.
  void StartRouter();
  void StartAgent(size_t index);
  void EditFleet(const membership::FleetEdit& edit);
  void Step();
  void StepProcesses();
  ledger::LedgerRecord StoredLedger() const;
  void CheckLedger();
  bool IsFlushed(size_t agent) const;
  void RenewLeases();
  router::LeasesListed Leases() const;
  void RecordViolation(std::string text);

  // Defined in fleet_network.cc.
  void StepRouter(size_t index, const router::RouterEvent& event);
  void StepAgent(size_t index, const agent::AgentEvent& event);
  void HandleRouterCommand(size_t router, const router::SendMessage& command);
  void HandleRouterCommand(size_t router, const router::DialAgent& command);
  void HandleRouterCommand(size_t router, const router::CloseLink& command);
  void HandleRouterCommand(size_t router, const platform::KvRead& command);
  void HandleRouterCommand(size_t router, const platform::KvWrite& command);
  void HandleRouterCommand(size_t router,
                           const router::CompleteAnswer& command);
  void HandleRouterCommand(size_t router, const router::AnswerHead& command);
  void HandleRouterCommand(size_t router, const router::AnswerBytes& command);
  void HandleRouterCommand(size_t router, const router::AnswerEnd& command);
  void HandleRouterCommand(size_t router, const router::AnswerAbort& command);
  void HandleRouterCommand(size_t router, const router::AnswerError& command);
  void HandleRouterCommand(size_t router, const router::RequestEnded& command);
  void HandleRouterCommand(size_t router, const router::Drained& command);
  void HandleAgentCommand(size_t agent, const agent::SendMessage& command);
  void HandleAgentCommand(size_t agent, const agent::CallBackend& command);
  void HandleAgentCommand(size_t agent, const agent::CancelBackend& command);
  void HandleAgentCommand(size_t agent, const agent::Drained& command);
  template <typename Other>
  void HandleAgentCommand(size_t, const Other&) {}
  void DeliverMessages();
  void CloseConnection(Connection& connection, base::Millis after);
  void SendHeartbeats();
  bool IsBlocked(const Connection& connection) const;
  link::Message Tamper(link::Message message) const;
  void RunBackends();
  void RunBackend(size_t agent, const base::AttemptId& attempt);

  // Callers.
  void OnAnswer(router::ExchangeId exchange, const std::string& answer);
  void OnError(router::ExchangeId exchange, const router::CallerError& error);
  // Returns the first router that is ready, starting the search at `first`.
  std::optional<size_t> FindReady(size_t first) const;
  void Arrive(size_t router, size_t request);
  Caller* FindCaller(router::ExchangeId exchange);

  const InjectedFault injected_fault_;
  std::mt19937_64 random_;
  base::Millis now_{1};
  support::FakeKv kv_;
  BackendModel backend_;
  base::Tokens limit_;
  std::shared_ptr<const config::Config> config_;
  std::vector<RouterProcess> routers_;
  std::vector<AgentProcess> agents_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::set<std::pair<size_t, size_t>> partitioned_links_;
  std::vector<Request> requests_;
  std::map<router::ExchangeId, Caller> callers_;
  router::ExchangeId next_exchange_ = 1;
  link::ConnectionId next_connection_ = 1;
  int64_t next_incarnation_ = 1;
  size_t refusals_ = 0;
  std::string interrupted_;
  base::Millis next_heartbeat_;
  // Number of the last tick.
  int64_t ticked_ = 0;
  // Version of the ledger record that was checked last.
  int64_t checked_version_ = 0;
  bool finishing_ = false;
  std::string violation_;
};

}  // namespace godwit::fleet

#endif  // FLEET_FLEET_SIMULATION_H_
