#ifndef DISPATCH_DISPATCHER_STATE_H_
#define DISPATCH_DISPATCHER_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/error_kind.h"
#include "call.h"
#include "connection_losses.h"
#include "dispatch/backend_backoff.h"
#include "dispatch/backend_directory.h"
#include "dispatch/call_queue.h"
#include "dispatch/choice.h"
#include "dispatch/cold_periods.h"
#include "dispatch/content_containment.h"
#include "dispatch/dispatcher.h"
#include "dispatch/fleet_members.h"
#include "dispatch/placement.h"
#include "dispatch/placement_request.h"
#include "dispatch/request_limits.h"
#include "dispatch/routing_table.h"
#include "dispatch/stream_origins.h"
#include "dispatch/version_register.h"
#include "ledger/metered_budget_manager.h"
#include "routing/retry_budget.h"
#include "run_times.h"

namespace godwit::dispatch {

// The state machine behind Dispatcher.
struct Dispatcher::State {
 public:
  explicit State(DispatcherOptions options);

  std::vector<DispatchCommand> Step(base::Millis now,
                                    const DispatchEvent& event);

  // Event handlers; dispatcher_state.cc, attempt_events.cc for those of
  // attempts.
  void On(const CallArrived& event);
  void On(const CallerDisconnected& event);
  void On(const AttemptAnswered& event);
  void On(const AttemptReceived& event);
  void On(const AttemptPaused& event);
  void On(const AttemptProgressed& event);
  void On(const AttemptEnded& event);
  void On(const AttemptFailed& event);
  void On(const RoutingTableUpdated& event);
  void On(const BackendsListed& event);
  void On(const BackendRegistered& event);
  void On(const BackendRemoved& event);
  void On(const StoreAvailabilityChanged& event);
  void On(const StoreEraChanged& event);
  void On(const EvacuationsChanged& event);
  void On(const ConfigurationTracking& event);
  void On(const RoutersListed& event);
  void On(const PeerMessageReceived& event);
  void On(const RouterMessageReceived& event);
  void On(const StopRequested& event);
  void On(const DrainRequested& event);
  void On(const platform::KvReadDone& event);
  void On(const platform::KvWriteDone& event);
  void On(const Tick& event);

  // Admission; call_admission.cc.
  // Resolves route, organisation, service and deadlines from the
  // configuration. Returns false if the call was refused.
  bool Admit(Call& call);
  // True if the configuration was not followed for so long that routes and API
  // keys that it does not have may exist.
  bool MayConfigurationBeOutdated() const;
  // Refuses a call for a route or API key that the configuration does not have.
  void RefuseUnknown(Call& call, base::ErrorKind kind, const char* reason);
  void TryBudget(Call& call);
  void TryStartAttempt(Call& call);
  void RefuseTooLarge(Call& call);
  void Enqueue(Call& call);
  bool WouldMissDeadline(const Call& call) const;
  // When a call that is refused for lack of capacity may come again.
  base::Millis CapacityRetryAfter(const Call& call) const;
  // Time until a call that has to wait is sent: the longest of the times that
  // follow from the load of the servers, from their limits if all have one, and
  // from the first end of the times for which all of them want no requests.
  base::Millis ExpectedWait(const Call& call) const;
  // The same behind `ahead` calls.
  base::Millis ExpectedWait(const Call& call, int64_t ahead) const;
  base::Millis WaitByLoad(const Call& call,
                          const std::vector<const Backend*>& backends,
                          int64_t ahead) const;
  base::Millis WaitByLimits(const std::vector<const Backend*>& backends,
                            int64_t ahead) const;
  base::Millis WaitByBackoff(const std::vector<const Backend*>& backends) const;
  // Calls that wait; call_waiting.cc.
  // Runs the due work of the budgets, then retries the reservations of the
  // calls that wait for them.
  void ProcessBudgets();
  void RetryReservations();
  void ProcessQueues();
  // The servers that may run a call: those that may be given work and, for a
  // stream that has begun, have the software version that began it.
  std::vector<const Backend*> UsableBackends(const Call& call) const;
  // Those of them to which it may be sent now: servers that did not ask for a
  // time without requests, and whose limits leave room.
  std::vector<const Backend*> OpenBackends(const Call& call) const;

  // The end of the router; call_stop.cc.
  // The time that the call must be expected to take, as others of its route did
  // lately or have taken so far; empty if not known.
  std::optional<base::Millis> ExpectedRunTime(const Call& call) const;
  // False if the call has not run, and may still run when the router ends if it
  // is sent after `wait`.
  bool MayEndBeforeStop(const Call& call,
                        base::Millis wait = base::Millis()) const;
  // Refuses the calls that wait and can't end before the router does.
  void RefuseBeforeStop();
  void RefuseLeaving(Call& call);

  // Streams that are resumed; call_origin.cc.
  // Binds a call that resumes a stream to the software version that began it.
  // Returns false if the call waits for other routers, or was refused.
  bool ResolveOrigin(Call& call);
  void AskForOrigin(Call& call);
  // Decides when no further reply is awaited.
  void ConcludeOrigin(Call& call);
  void CheckOrigin(Call& call);
  // Continues a call whose stream began at a version.
  void BindToVersion(Call& call, const std::string& software_version);
  void RecordOrigin(const Call& call);
  void SendOrigin(const Call& call);
  // Notes the software versions of one or all registered servers.
  void NoteVersion(const Backend& backend);
  void NoteVersions();
  // Keeps the stored list of versions.
  void ProcessVersions();
  // Returns false if the operation belongs to another component.
  template <typename Done>
  bool FinishVersions(const Done& done);

  // Contents that crash servers; call_contents.cc.
  // Returns false if the call was refused since its content is contained.
  bool AdmitContent(Call& call);
  // True while a decision on the call's content is due, or a suspected request
  // is in progress that the call repeats.
  bool MustWaitForDecision(const Call& call) const;
  // Refuses a call that has not run.
  void RefuseContained(Call& call);
  // Ends the calls whose content has become contained.
  void EndContainedCalls();
  // The connection of the attempt that has just ended was lost.
  void NoteLost(const Call& call);
  // A server is being registered; it may take the place of one that crashed.
  void NoteRegistered(const Backend& backend);
  // Something was received for the attempt in progress.
  void NoteReceived(const Call& call);
  // The attempt in progress was answered with success.
  void NoteSuccess(Call& call);
  // Messages and records of what was learnt in this step.
  void EmitContentChanges();

  // Attempts; call_attempts.cc.
  PlacementRequest MakePlacementRequest(const Call& call) const;
  void Start(Call& call, const Choice& choice);
  // Whether an attempt that ended without an answer for the caller may have
  // run at its server.
  enum class RunOutcome : uint8_t { kNotArrived, kNotRun, kMayHaveRun };
  // Handles the end of an attempt without an answer for the caller: retries,
  // queues or finishes the call.
  void Abandon(Call& call, RunOutcome run_outcome, const std::string& reason);
  // Cancels the attempt in progress, whose answer is discarded, and then does
  // what Abandon() does.
  void CancelAndAbandon(Call& call,
                        Placement::Outcome outcome,
                        RunOutcome run_outcome,
                        const std::string& reason);
  void Cancel(const Call& call, Placement::Outcome outcome);
  // Cancels the attempt in progress, which may have run, and starts one at
  // another server. Returns false and changes nothing if no server is
  // available.
  bool FailOver(Call& call, const std::string& reason);
  bool MayRunAgain(const Call& call) const;
  bool MaySendAgain(const Call& call) const;
  // The server for the next attempt; empty if the request must not be or cannot
  // be sent again. Counts against the retry budget.
  std::optional<Choice> NextServer(Call& call, RunOutcome run_outcome);
  void CountAttemptEnd(Call& call, RunOutcome run_outcome);
  void RecordAbandoned(const Call& call,
                       const std::string& reason,
                       const char* next);
  void Replace(Call& call, const Choice& next, const std::string& reason);
  void Finish(Call& call, RunOutcome run_outcome, const std::string& reason);
  Call* FindAttempt(CallId call, int64_t attempt);
  // Handles attempts at servers that are unresponsive, and streams that have
  // stalled.
  void CheckResponsiveness(Call& call);
  // True if bytes were received within the pause that is allowed between the
  // events of the stream.
  bool IsWithinPause(const Call& call) const;
  // True if a stream has completed no event for far longer than that.
  bool HasStalled(const Call& call) const;
  void EndStalled(Call& call);
  void CheckTime(Call& call);
  routing::RetryBudget& RetryBudgetFor(const base::ServiceId& service);
  // The retries beyond the share of requests that this router may make.
  double RetryBurst() const;
  // True until an earlier incarnation's retries no longer count.
  bool MayPredecessorHaveRetried() const;
  void FillRetryBudgets();

  // Ends; call_end.cc.
  void Refuse(Call& call,
              base::ErrorKind kind,
              std::string reason,
              base::Millis retry_after);
  void End(Call& call, std::string outcome, std::string reason);
  // Answers all calls, since the router ends.
  void EndAllCalls();
  ledger::Usage UsageOf(const Call& call, bool complete) const;

  // Statements of servers; server_statements.cc.
  // Applies what the server of the call's attempt states about itself.
  void ApplyStatements(const Call& call, const Reply& reply);
  // Handles a message of another router.
  void OnMessage(const base::Endpoint& from, const LimitNotice& notice);
  void OnMessage(const base::Endpoint& from, const StreamOriginNotice& notice);
  void OnMessage(const base::Endpoint& from, const StreamOriginQuery& query);
  void OnMessage(const base::Endpoint& from, const StreamOriginReply& reply);
  void OnMessage(const base::Endpoint& from, const VersionsNotice& notice);
  void OnMessage(const base::Endpoint& from, const LossNotice& notice);
  void OnMessage(const base::Endpoint& from, const LossRetraction& retraction);
  void OnMessage(const base::Endpoint& from, const ContainmentNotice& notice);
  void OnMessage(const base::Endpoint& from, const ClearanceNotice& notice);
  void OnMessage(const base::Endpoint& from, const SuspectRunNotice& notice);
  // Sends a message to all other routers.
  void Broadcast(const RouterMessage& message);
  void ForgetRemovedBackends();
  // Applies what is known of the server's cold period.
  void ApplyColdPeriod(const Backend& backend);
  void ApplyColdPeriods();
  void RecordUnreadableColdPeriod(const Backend& backend);
  // Evacuated data centres; evacuations.cc.
  void ApplyEvacuations();
  // True if no server can be used since data centres are evacuated.
  bool IsEvacuated(const Call& call) const;
  void RefuseEvacuated(Call& call);

  void Emit(std::vector<BackendHealthChanged> changes);
  void Emit(std::vector<ledger::MeteredBudgetManager::Command> commands);
  template <typename Command>
  void Emit(Command command) {
    commands_.emplace_back(std::move(command));
  }

 private:
  friend class Dispatcher;

  const DispatcherOptions options_;
  std::shared_ptr<const RoutingTable> table_;
  BackendDirectory directory_;
  FleetMembers members_;
  BackendBackoff backoff_;
  RequestLimits limits_;
  // Keys of the servers whose invalid load reports were recorded.
  std::set<std::string> invalid_loads_;
  ColdPeriods cold_periods_;
  StreamOrigins origins_;
  VersionRegister versions_;
  ContentContainment containment_;
  ConnectionLosses connection_losses_;
  base::Millis versions_noted_at_;
  // Calls in phase kAwaitingOrigin.
  std::set<CallId> awaiting_origin_;
  Placement placement_;
  CallQueue queue_;
  ledger::MeteredBudgetManager budgets_;
  std::map<base::ServiceId, routing::RetryBudget> retries_;
  // Time of the first event.
  std::optional<base::Millis> started_at_;
  bool are_retries_filled_;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  // When the configuration was no longer followed; empty while it is.
  std::optional<base::Millis> unfollowed_since_;
  // When the store last answered a list or watch of the configuration.
  base::Millis configuration_answered_at_;
  bool store_answers_ = true;
  size_t routers_;
  bool routers_listed_ = false;
  int64_t next_attempt_ = 1;
  bool draining_ = false;
  // When the last request must have ended; empty unless the router is about to
  // stop.
  std::optional<base::Millis> stop_ends_at_;
  RunTimes run_times_;
  // Valid during a step.
  base::Millis now_;
  std::vector<DispatchCommand> commands_;
  base::Millis last_tick_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCHER_STATE_H_
