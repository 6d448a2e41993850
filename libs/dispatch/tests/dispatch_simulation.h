#ifndef DISPATCH_TESTS_DISPATCH_SIMULATION_H_
#define DISPATCH_TESTS_DISPATCH_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/dispatcher.h"
#include "dispatch/routing_table.h"
#include "model_server.h"

namespace godwit::dispatch {

// Simulation of one dispatcher and its model servers, in virtual time.
class DispatchSimulation {
 public:
  // What the caller observed of a call.
  struct Outcome {
    std::string route;
    bool ended = false;
    // Set for refusals.
    base::ErrorKind refusal = base::ErrorKind::kNone;
    base::Millis arrived_at;
    base::Millis ended_at;
    base::Millis retry_after;
    bool answered = false;
    bool aborted = false;
    bool may_have_run = false;
    base::Millis first_byte;
    base::Millis longest_gap;
    int64_t attempts_sent = 0;
  };

  struct Options {
    PlacementOptions placement;
    // Routes: "chat" (streams, urgent), "summary" (streams, resumable, long
    // prompts), "order" (at most once), "status" (idempotent).
    std::vector<Organisation> organisations;
    bool requires_api_key = false;
    // Tokens that fit into the memory of a model server; 0 if not stated.
    base::Tokens kv_capacity = 0;
    // The router has just been restarted, and its bound on retries applies to
    // this span; zero for one that starts for the first time.
    base::Millis retry_window;
    uint64_t seed = 1;
  };

  // Time at which a simulation starts.
  static constexpr base::Millis kStart{1000};

  DispatchSimulation(const Options& options,
                     std::vector<ModelServer::Options> servers);
  ~DispatchSimulation();

  // Sends a request of a route. A prompt has `shared` tokens that all prompts
  // of the session have in common, and `own` tokens of its own.
  CallId Arrive(const std::string& route,
                base::Tokens shared = 0,
                base::Tokens own = 0,
                uint64_t session = 0,
                int64_t events = 0);
  // The API key of requests that arrive from now on.
  void SetApiKey(const std::string& key) { api_key_ = key; }
  void Disconnect(CallId call);
  void Advance(base::Millis span);
  // Passes an event to the dispatcher and carries out its commands.
  void Raise(const DispatchEvent& event);

  ModelServer& server(size_t index) { return *servers_[index]; }
  size_t servers() const { return servers_.size(); }
  Dispatcher& dispatcher() { return dispatcher_; }
  const Outcome& outcome(CallId call) const { return outcomes_.at(call); }
  const std::map<CallId, Outcome>& outcomes() const { return outcomes_; }
  const std::vector<BackendHealthChanged>& health_changes() const {
    return health_changes_;
  }
  base::Millis now() const { return now_; }

  // Counts of the calls of a route by outcome.
  struct OutcomeCounts {
    int64_t calls = 0;
    int64_t on_time = 0;
    int64_t late = 0;
    int64_t refused = 0;
    int64_t failed = 0;
    base::Millis longest_refusal;
  };
  OutcomeCounts CountOutcomes(const std::string& route) const;

 private:
  struct Running;

  void Handle(const StartAttempt& command);
  void Handle(const CancelAttempt& command);
  void Handle(const RelayAnswer& command);
  void Handle(const RefuseCall& command);
  void Handle(const AbortCall& command);
  void Handle(const CallEnded& command);
  void Handle(const AttemptAbandoned& command);
  void Handle(const BackendHealthChanged& command);
  void Handle(const BackendLimitChanged& /*command*/) {}
  void Handle(const BackendColdChanged& /*command*/) {}
  void Handle(const DataCentreStateChanged& /*command*/) {}
  void Handle(const ContentStateChanged& /*command*/) {}
  void Handle(const platform::KvRead& command);
  void Handle(const platform::KvWrite& command);
  void Handle(const ledger::GrantClosed& /*command*/) {}
  void Handle(const ledger::BudgetMerged& /*command*/) {}
  void Handle(const ledger::PeerUnresponsive& /*command*/) {}
  // There is no other router to lend to.
  void Handle(const ledger::SendToPeer& /*command*/) {}
  void Handle(const SendToRouter& /*command*/) {}
  void HandleServerEvent(const ModelServer::Event& event);

  base::Millis now_ = kStart;
  std::string api_key_ = "key";
  std::mt19937_64 random_;
  Dispatcher dispatcher_;
  std::vector<std::unique_ptr<ModelServer>> servers_;
  std::map<std::string, size_t> by_instance_;
  std::map<int64_t, Running> running_;
  std::map<CallId, Outcome> outcomes_;
  std::map<CallId, Prompt> prompts_;
  std::map<CallId, int64_t> requested_events_;
  std::map<CallId, int64_t> events_;
  std::map<CallId, base::Millis> last_event_at_;
  std::vector<BackendHealthChanged> health_changes_;
  CallId next_call_ = 1;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_DISPATCH_SIMULATION_H_
