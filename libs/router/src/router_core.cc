#include "router/router_core.h"

#include <algorithm>
#include <map>
#include <set>
#include <type_traits>
#include <utility>

#include "call_lifecycle.h"
#include "context.h"
#include "grant_recoveries.h"
#include "membership/fleet_codec.h"

namespace godwit::router {
namespace {

// Period of maintenance: links, leases and lapsed agents.
constexpr base::Millis kMaintenancePeriod(100);

std::vector<membership::ServiceAgents> ServicesOf(
    const config::Config& config) {
  std::vector<membership::ServiceAgents> services;
  services.reserve(config.services.size());
  for (const config::Service& service : config.services) {
    services.push_back({service.id, service.backend_servers});
  }
  return services;
}

}  // namespace

class RouterCore::Impl {
 public:
  explicit Impl(RouterOptions options)
      : context_(std::move(options)), call_lifecycle_(context_) {}

  std::vector<RouterCommand> Step(base::Millis now, const RouterEvent& event) {
    context_.now = now;
    context_.wall = now + wall_offset_;
    std::visit([this](const auto& e) { On(e); }, event);
    ProcessBudgetAndClaimCommands();
    call_lifecycle_.EraseFinishedCalls();
    return std::exchange(context_.out, {});
  }

  bool ready() const noexcept {
    return context_.config != nullptr && !context_.draining &&
           !usable_agents_.empty();
  }

  size_t open_calls() const noexcept { return call_lifecycle_.open_calls(); }
  std::vector<OpenCall> OpenCalls() const {
    return call_lifecycle_.OpenCalls();
  }

 private:
  void On(const RequestReceived& event) {
    call_lifecycle_.OnRequestReceived(event.request);
  }
  void On(const CallerDisconnected& event) {
    call_lifecycle_.OnCallerDisconnected(event.exchange);
  }
  void On(const AnswerBytesConsumed& event) {
    call_lifecycle_.OnAnswerBytesConsumed(event.exchange, event.bytes);
  }

  void On(const LinkOpened& event) {
    const base::Incarnation agent_incarnation = event.peer.incarnation;
    const bool replaces = IsLinked(agent_incarnation);
    incarnations_[event.connection] = agent_incarnation;
    context_.membership.OnLinkUp(context_.now, event.connection, event.peer);
    const auto view = context_.membership.Find(context_.now, agent_incarnation);
    if (!view || view->connection != event.connection) {
      return;
    }
    UpdateUsableAgents();
    if (replaces) {
      // Runs in progress on the replaced, unresponsive link continue over this
      // one.
      call_lifecycle_.OnAgentUnlinked(agent_incarnation);
    }
    call_lifecycle_.OnAgentLinked(agent_incarnation);
  }

  bool IsLinked(const base::Incarnation& agent_incarnation) const {
    return std::any_of(
        incarnations_.begin(), incarnations_.end(),
        [&](const auto& entry) { return entry.second == agent_incarnation; });
  }

  void On(const LinkClosed& event) {
    const auto position = incarnations_.find(event.connection);
    context_.membership.OnLinkDown(context_.now, event.connection);
    if (position == incarnations_.end()) {
      return;
    }
    const base::Incarnation agent_incarnation = position->second;
    incarnations_.erase(position);
    UpdateUsableAgents();
    const auto view = context_.membership.Find(context_.now, agent_incarnation);
    if (!view || !view->connected) {
      call_lifecycle_.OnAgentUnlinked(agent_incarnation);
    }
  }

  void On(const LinkMessageReceived& event) {
    const auto position = incarnations_.find(event.connection);
    if (position == incarnations_.end()) {
      return;
    }
    const base::Incarnation agent_incarnation = position->second;
    context_.membership.OnMessageReceived(context_.now, event.connection);
    if (const auto* heartbeat = std::get_if<link::Heartbeat>(&event.message)) {
      OnHeartbeat(event.connection, agent_incarnation, *heartbeat);
      return;
    }
    if (const auto* usage = std::get_if<link::GrantUsage>(&event.message)) {
      OnGrantUsage(*usage);
      return;
    }
    if (const auto* end = std::get_if<link::RunEnd>(&event.message)) {
      recoveries_.OnRunEnd(agent_incarnation, *end);
    }
    if (const auto* refused = std::get_if<link::RunRefused>(&event.message);
        refused != nullptr && refused->kind == base::ErrorKind::kLeaving) {
      context_.membership.OnRefusedLeaving(event.connection);
      UpdateUsableAgents();
    }
    call_lifecycle_.OnMessage(agent_incarnation, event.message);
  }

  void OnGrantUsage(const link::GrantUsage& usage) {
    if (const auto billed = recoveries_.BillableUsage(usage)) {
      context_.StepBudgetManager(
          ledger::AgentUsageReported{usage.grant, usage.incarnation, *billed,
                                     usage.running, usage.sealed});
    }
  }

  void OnHeartbeat(link::ConnectionId connection,
                   const base::Incarnation& agent_incarnation,
                   const link::Heartbeat& heartbeat) {
    context_.membership.OnHeartbeat(context_.now, connection,
                                    heartbeat.leaving);
    context_.picker.OnLoad(context_.now, agent_incarnation, heartbeat.running,
                           heartbeat.queued);
    if (heartbeat.fleet_version > context_.membership.version()) {
      context_.RefreshFleet();
    }
    UpdateUsableAgents();
  }

  void On(const platform::KvReadDone& event) { OnKvDone(event); }
  void On(const platform::KvWriteDone& event) { OnKvDone(event); }

  // Passes a KV result to the component that requested it, under its own
  // operation number.
  template <typename Done>
  void OnKvDone(Done done) {
    const auto origin = context_.kv.Unwrap(done.operation);
    if (!origin) {
      return;
    }
    done.operation = origin->operation;
    switch (origin->user) {
      case KvUser::kBudgetManager:
        context_.StepBudgetManager(done);
        return;
      case KvUser::kClaims:
        context_.StepClaims(done);
        return;
      case KvUser::kFleetEditor:
        EmitFleet(EditorStep(done));
        return;
      case KvUser::kFleetRefresh:
        if constexpr (std::is_same_v<Done, platform::KvReadDone>) {
          OnFleetRead(done);
        }
        return;
    }
  }

  std::vector<membership::FleetCommand> EditorStep(
      const platform::KvReadDone& done) {
    return context_.editor.OnReadDone(context_.now, done);
  }
  std::vector<membership::FleetCommand> EditorStep(
      const platform::KvWriteDone& done) {
    return context_.editor.OnWriteDone(context_.now, done);
  }

  void OnFleetRead(const platform::KvReadDone& done) {
    context_.refreshing_fleet = false;
    membership::FleetCodec codec;
    const auto record =
        done.available ? codec.Decode(done.value) : std::nullopt;
    if (record) {
      On(FleetRecordReceived{*record, done.version.revision});
    }
  }

  void On(const ConfigInForce& event) {
    context_.config = event.config;
    context_.membership.SetServices(ServicesOf(*event.config));
    UpdateUsableAgents();
  }

  void On(const FleetRecordReceived& event) {
    if (event.version <= context_.membership.version()) {
      return;
    }
    context_.membership.OnFleetRecord(context_.now, event.record,
                                      event.version);
    ledger::AgentsListed listed;
    for (const membership::FleetAgent& agent : event.record.agents()) {
      listed.agents.insert(agent.incarnation);
      if (agent.state == membership::AgentState::kRemoved &&
          known_removed_.insert(agent.incarnation).second) {
        removed_agents_.insert(agent.incarnation);
      }
    }
    context_.StepBudgetManager(listed);
    UpdateUsableAgents();
    call_lifecycle_.OnFleetChanged();
    SettleRemovedAgents();
  }

  // Reports removed agents to the ledger only once none of their complete
  // answers waits for its bill.
  void SettleRemovedAgents() {
    for (auto at = removed_agents_.begin(); at != removed_agents_.end();) {
      call_lifecycle_.OnAgentRemoved(*at);
      if (call_lifecycle_.IsConfirming(*at)) {
        ++at;
        continue;
      }
      context_.picker.RemoveAgent(*at);
      context_.StepBudgetManager(ledger::AgentRemoved{*at});
      at = removed_agents_.erase(at);
    }
  }

  void On(const VmsListed& event) {
    context_.membership.OnVmList(context_.now, event.vms);
    UpdateUsableAgents();
  }

  void On(const LeasesListed& event) {
    context_.membership.OnLeases(context_.now, event.agents);
    context_.StepBudgetManager(ledger::LiveHoldersListed{event.routers});
  }

  void On(const StopRequested& event) { context_.stop_ends_at = event.ends_at; }

  void On(const DrainRequested&) { context_.draining = true; }

  void On(const DrainTimedOut&) { call_lifecycle_.AnswerOpenCalls(); }

  void On(const Tick& event) {
    wall_offset_ = event.wall - context_.now;
    context_.wall = event.wall;
    context_.StepBudgetManager(ledger::Tick());
    context_.StepClaims(claims::ClaimTick());
    EmitFleet(context_.editor.Tick(context_.now));
    call_lifecycle_.OnTick();
    SettleRemovedAgents();
    if (context_.now - last_maintenance_at_ >= kMaintenancePeriod) {
      last_maintenance_at_ = context_.now;
      RunMaintenance();
    }
    DrainLedgerIfIdle();
  }

  void RunMaintenance() {
    UpdateUsableAgents();
    for (const membership::DialTarget& target :
         context_.membership.TakeDialTargets(context_.now)) {
      context_.Emit(DialAgent{target.process, target.ip, target.port});
    }
    for (const link::ConnectionId connection :
         context_.membership.UnwantedLinks(context_.now)) {
      context_.Emit(CloseLink{connection});
    }
    for (const base::Incarnation& agent_incarnation :
         context_.membership.Lapsed(context_.now)) {
      EmitFleet(context_.editor.Submit(
          context_.now,
          membership::MarkRemoved{agent_incarnation, context_.wall}));
    }
    if (context_.membership.version() < context_.editor.version()) {
      On(FleetRecordReceived{context_.editor.record(),
                             context_.editor.version()});
    }
  }

  void DrainLedgerIfIdle() {
    if (!context_.draining || ledger_drain_requested_ ||
        call_lifecycle_.calls() > 0) {
      return;
    }
    ledger_drain_requested_ = true;
    context_.StepBudgetManager(ledger::DrainRequested());
  }

  // Reports to the ledger the agents that runs may be sent to.
  void UpdateUsableAgents() {
    std::set<base::Incarnation> usable;
    if (context_.config != nullptr) {
      for (const config::Service& service : context_.config->services) {
        for (const membership::AgentView& agent :
             context_.membership.Usable(context_.now, service.id)) {
          // The ledger treats an agent that is not in the fleet record as
          // removed.
          if (agent.joined) {
            usable.insert(agent.incarnation);
          }
        }
      }
    }
    if (usable != usable_agents_) {
      usable_agents_ = std::move(usable);
      context_.StepBudgetManager(ledger::AgentsChanged{usable_agents_});
    }
  }

  void EmitFleet(std::vector<membership::FleetCommand> commands) {
    for (membership::FleetCommand& command : commands) {
      std::visit(
          [this](auto& operation) {
            context_.Emit(
                context_.kv.Wrap(KvUser::kFleetEditor, std::move(operation)));
          },
          command);
    }
  }

  void ProcessBudgetAndClaimCommands() {
    while (!context_.budget_commands.empty() ||
           !context_.claim_commands.empty()) {
      if (!context_.budget_commands.empty()) {
        const ledger::BudgetManagerCommand command =
            std::move(context_.budget_commands.front());
        context_.budget_commands.pop_front();
        std::visit([this](const auto& c) { Execute(c); }, command);
        continue;
      }
      const claims::ClaimCommand command =
          std::move(context_.claim_commands.front());
      context_.claim_commands.pop_front();
      std::visit([this](const auto& c) { DoClaim(c); }, command);
    }
  }

  void Execute(const ledger::ReserveGranted& command) {
    call_lifecycle_.OnReserveGranted(command);
  }
  void Execute(const ledger::ReserveRefused& command) {
    call_lifecycle_.OnReserveRefused(command);
  }
  void Execute(const ledger::SendSealGrant& command) {
    recoveries_.Begin(command.grant);
    SendToAgent(command.agent, link::SealGrant{command.grant});
  }
  void Execute(const ledger::SendForgetGrant& command) {
    recoveries_.End(command.grant);
    SendToAgent(command.agent, link::ForgetGrant{command.grant});
  }
  void Execute(const ledger::Drained&) { context_.Emit(Drained()); }
  template <typename Operation>
  void Execute(const Operation& operation) {
    context_.Emit(context_.kv.Wrap(KvUser::kBudgetManager, operation));
  }

  void DoClaim(const claims::ClaimWon& command) {
    call_lifecycle_.OnClaimWon(command);
  }
  void DoClaim(const claims::ClaimExists& command) {
    call_lifecycle_.OnClaimExists(command);
  }
  void DoClaim(const claims::ClaimUnavailable& command) {
    call_lifecycle_.OnClaimUnavailable(command);
  }
  template <typename Operation>
  void DoClaim(const Operation& operation) {
    context_.Emit(context_.kv.Wrap(KvUser::kClaims, operation));
  }

  // Sends a message to an agent incarnation. If it is not linked, requests a
  // link for later repeats of the message.
  void SendToAgent(const base::Incarnation& agent_incarnation,
                   link::Message message) {
    if (context_.SendTo(agent_incarnation, std::move(message))) {
      return;
    }
    const auto* agent = context_.membership.record().Find(agent_incarnation);
    if (agent != nullptr && agent->state != membership::AgentState::kRemoved) {
      context_.RequestLink(agent->process);
    }
  }

  Context context_;
  CallLifecycle call_lifecycle_;
  GrantRecoveries recoveries_{call_lifecycle_};
  std::map<link::ConnectionId, base::Incarnation> incarnations_;
  std::set<base::Incarnation> usable_agents_;
  std::set<base::Incarnation> known_removed_;
  // Removed agents that have not been reported to the ledger yet.
  std::set<base::Incarnation> removed_agents_;
  base::Millis wall_offset_;
  base::Millis last_maintenance_at_;
  bool ledger_drain_requested_ = false;
};

RouterCore::RouterCore(RouterOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

RouterCore::~RouterCore() = default;

std::vector<RouterCommand> RouterCore::Step(base::Millis now,
                                            const RouterEvent& event) {
  return impl_->Step(now, event);
}

bool RouterCore::ready() const noexcept {
  return impl_->ready();
}

size_t RouterCore::open_calls() const noexcept {
  return impl_->open_calls();
}

std::vector<OpenCall> RouterCore::OpenCalls() const {
  return impl_->OpenCalls();
}

}  // namespace godwit::router
