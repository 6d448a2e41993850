#include "fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "connection.h"
#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/shard.h"
#include "membership/fleet_codec.h"

namespace godwit::fleet {
namespace {

constexpr size_t kRouters = 2;
constexpr size_t kAgents = 3;
constexpr base::Millis kStep(10);
constexpr base::Millis kTick(50);
constexpr base::Millis kLeaseTtl = base::Seconds(10);
constexpr base::Millis kLeasePeriod = base::Seconds(3);
// Step size once no more faults are injected.
constexpr base::Millis kFinishStep(50);
// Offset of the wall clock from the monotonic clock.
constexpr base::Millis kWallClockOffset = base::Seconds(1'000'000);
// Minimum time that an agent keeps running after it began to leave, as in
// godwit-agent.
constexpr base::Millis kLeaveNotice = base::Seconds(2);
constexpr char kBudget[] = "prepaid";
constexpr char kOrganisation[] = "keelung";

std::shared_ptr<const config::Config> MakeConfig() {
  auto config = std::make_shared<config::Config>();
  config->revision = 1;
  config::Service service;
  service.id = base::ServiceId("kiosk");
  service.kind = config::ServiceKind::kModelPool;
  service.model = "kiosk";
  service.max_output_tokens = 1;
  for (size_t i = 0; i < kAgents; ++i) {
    service.backend_servers.emplace_back("agent-" + std::to_string(i));
  }
  config->services = {service};
  config->classes = {config::TrafficClass()};
  config::Organisation organisation;
  organisation.id = base::OrganisationId(kOrganisation);
  organisation.budget = base::BudgetId(kBudget);
  config->organisations = {organisation};
  return config;
}

std::string LedgerKey() {
  return ledger::ShardKey(ledger::ShardOf(base::BudgetId(kBudget)));
}

}  // namespace

FleetSimulation::FleetSimulation(uint64_t seed,
                                 InjectedFault fault,
                                 base::Tokens limit)
    : injected_fault_(fault),
      random_(seed),
      kv_(seed),
      limit_(limit),
      config_(MakeConfig()) {
  kv_.faults().ignores_versions = fault == InjectedFault::kKvIgnoresVersions;
  ledger::LedgerEdit edit((ledger::LedgerRecord()));
  edit.CreateBudget(base::BudgetId(kBudget),
                    base::OrganisationId(kOrganisation));
  edit.TopUp(base::BudgetId(kBudget), "first", limit, base::Millis(1));
  kv_.Put(LedgerKey(), ledger::LedgerCodec().Encode(edit.record()));
  agents_.resize(kAgents);
  for (size_t i = 0; i < kAgents; ++i) {
    StartAgent(i);
  }
  for (size_t i = 0; i < kRouters; ++i) {
    StartRouter();
  }
  Advance(base::Seconds(1));
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::StartRouter() {
  RouterProcess process;
  process.process =
      base::ProcessId("router-" + std::to_string(routers_.size()));
  process.incarnation = base::Incarnation(process.process.value() + "#" +
                                          std::to_string(next_incarnation_++));
  router::RouterOptions options;
  options.process = process.process;
  options.incarnation = process.incarnation;
  options.data_centre = base::DataCentreId("dc-0");
  options.seed = random_();
  process.core = std::make_unique<router::RouterCore>(options);
  process.lease_renewed_at = now_;
  routers_.push_back(std::move(process));
  const size_t index = routers_.size() - 1;
  StepRouter(index, router::Tick{now_ + kWallClockOffset});
  StepRouter(index, router::ConfigInForce{config_});
}

void FleetSimulation::StartAgent(size_t index) {
  AgentProcess& process = agents_[index];
  process.process = base::ProcessId("agent-" + std::to_string(index));
  process.incarnation = base::Incarnation(process.process.value() + "#" +
                                          std::to_string(next_incarnation_++));
  agent::AgentOptions options;
  options.incarnation = process.incarnation;
  options.kind = config::ServiceKind::kModelPool;
  options.max_running = 4;
  process.core = std::make_unique<agent::AgentCore>(options);
  process.runs.clear();
  process.inbox.clear();
  process.paused = false;
  process.drained = false;
  process.lease_renewed_at = now_;
  membership::FleetAgent entry;
  entry.incarnation = process.incarnation;
  entry.process = process.process;
  entry.ip = "127.0.0.1";
  entry.port = static_cast<uint16_t>(index + 1);
  entry.data_centre = base::DataCentreId("dc-" + std::to_string(index % 2));
  entry.joined_at = now_ + kWallClockOffset;
  EditFleet(membership::Join{entry});
}

// Agents add themselves to the fleet record in production; the simulation does
// it for them, immediately.
void FleetSimulation::EditFleet(const membership::FleetEdit& edit) {
  membership::FleetCodec codec;
  membership::FleetRecord record;
  const auto stored = kv_.stored().find(membership::kFleetKey);
  if (stored != kv_.stored().end()) {
    record = *codec.Decode(stored->second.value);
  }
  kv_.Put(membership::kFleetKey, codec.Encode(record.Apply(edit)));
}

void FleetSimulation::KillRouter(size_t index) {
  const size_t victim = index % routers_.size();
  if (routers_[victim].terminated) {
    return;
  }
  routers_[victim].terminated = true;
  routers_[victim].core.reset();
  for (const auto& connection : connections_) {
    if (connection->router == victim) {
      CloseConnection(*connection, base::Millis());
    }
  }
  for (auto at = callers_.begin(); at != callers_.end();) {
    if (at->second.router != victim) {
      ++at;
      continue;
    }
    requests_[at->second.request].open.erase(at->first);
    requests_[at->second.request].last_not_run = false;
    at = callers_.erase(at);
  }
  StartRouter();
}

void FleetSimulation::RestartAgent(size_t index) {
  const size_t victim = index % agents_.size();
  for (const auto& connection : connections_) {
    if (connection->agent == victim) {
      CloseConnection(*connection, base::Millis());
    }
  }
  StartAgent(victim);
}

void FleetSimulation::PauseRouter(size_t index, bool paused) {
  routers_[index % routers_.size()].paused = paused;
}

void FleetSimulation::PauseAgent(size_t index, bool paused) {
  agents_[index % agents_.size()].paused = paused;
}

void FleetSimulation::DrainAgent(size_t index) {
  const size_t agent_index = index % agents_.size();
  if (!agents_[agent_index].core->leaving()) {
    agents_[agent_index].drain_began = now_;
  }
  StepAgent(agent_index, agent::DrainRequested());
  agents_[agent_index].drained =
      agents_[agent_index].drained ||
      injected_fault_ == InjectedFault::kDrainAbortsRuns;
}

void FleetSimulation::DrainRouter(size_t index) {
  RouterProcess& process = routers_[index % routers_.size()];
  if (process.terminated || process.draining) {
    return;
  }
  process.draining = true;
  process.inbox.emplace_back(router::DrainRequested());
  StartRouter();
}

void FleetSimulation::PartitionLink(size_t router,
                                    size_t agent,
                                    bool partitioned) {
  const auto link =
      std::make_pair(router % routers_.size(), agent % agents_.size());
  if (partitioned) {
    partitioned_links_.insert(link);
  } else {
    partitioned_links_.erase(link);
  }
}

void FleetSimulation::StallLinks(size_t router) {
  for (const auto& connection : connections_) {
    if (connection->router == router % routers_.size()) {
      connection->stalled = true;
    }
  }
}

void FleetSimulation::PartitionFromKv(size_t router, bool partitioned) {
  const size_t index = router % routers_.size();
  routers_[index].partitioned_from_kv = partitioned;
  auto& clients = kv_.faults().partitioned_clients;
  if (partitioned) {
    clients.insert(static_cast<int>(index));
  } else {
    clients.erase(static_cast<int>(index));
  }
}

void FleetSimulation::TopUp(base::Tokens amount) {
  ledger::LedgerEdit edit(StoredLedger());
  if (edit.TopUp(base::BudgetId(kBudget), std::to_string(next_incarnation_++),
                 amount, base::Millis(1))) {
    limit_ += amount;
    kv_.Put(LedgerKey(), ledger::LedgerCodec().Encode(edit.record()));
  }
}

void FleetSimulation::Advance(base::Millis span) {
  const base::Millis end = now_ + span;
  while (now_ < end && violation_.empty()) {
    now_ = now_ + (finishing_ ? kFinishStep : kStep);
    Step();
  }
}

void FleetSimulation::Step() {
  for (const support::FakeKv::Answer& answer : kv_.Advance(now_)) {
    const auto index = static_cast<size_t>(answer.client);
    std::visit(
        [&](const auto& done) {
          if (!routers_[index].terminated) {
            routers_[index].inbox.emplace_back(done);
          }
        },
        answer.done);
  }
  DeliverMessages();
  RunBackends();
  if (now_.count() / kTick.count() != ticked_) {
    ticked_ = now_.count() / kTick.count();
    RenewLeases();
    SendHeartbeats();
    for (RouterProcess& process : routers_) {
      if (!process.terminated && !process.paused) {
        process.inbox.emplace_back(router::Tick{now_ + kWallClockOffset});
      }
    }
    for (AgentProcess& process : agents_) {
      if (!process.paused) {
        process.inbox.emplace_back(agent::Tick());
      }
    }
  }
  StepProcesses();
  for (size_t i = 0; i < agents_.size(); ++i) {
    if (agents_[i].drained && IsFlushed(i)) {
      RestartAgent(i);
    }
  }
  CheckLedger();
}

// A drained agent stays until every router has been notified that it leaves,
// and closes a link only after its pending messages were delivered.
bool FleetSimulation::IsFlushed(size_t agent) const {
  if (injected_fault_ != InjectedFault::kDrainAbortsRuns &&
      now_ < agents_[agent].drain_began + kLeaveNotice) {
    return false;
  }
  return std::all_of(
      connections_.begin(), connections_.end(), [&](const auto& connection) {
        return connection->agent != agent || connection->to_router.empty() ||
               injected_fault_ == InjectedFault::kDrainAbortsRuns;
      });
}

ledger::LedgerRecord FleetSimulation::StoredLedger() const {
  ledger::LedgerCodec codec;
  return codec.Decode(kv_.stored().at(LedgerKey()).value)
      .value_or(ledger::LedgerRecord());
}

void FleetSimulation::CheckLedger() {
  const int64_t version = kv_.stored().at(LedgerKey()).version;
  if (version == checked_version_) {
    return;
  }
  checked_version_ = version;
  if (StoredLedger().CheckInvariant()) {
    RecordViolation("the stored ledger violates its invariant");
  }
}

void FleetSimulation::StepProcesses() {
  for (size_t i = 0; i < agents_.size(); ++i) {
    while (!agents_[i].paused && !agents_[i].inbox.empty()) {
      const agent::AgentEvent event = std::move(agents_[i].inbox.front());
      agents_[i].inbox.pop_front();
      StepAgent(i, event);
    }
  }
  for (size_t i = 0; i < routers_.size(); ++i) {
    while (!routers_[i].terminated && !routers_[i].paused &&
           !routers_[i].inbox.empty()) {
      const router::RouterEvent event = std::move(routers_[i].inbox.front());
      routers_[i].inbox.pop_front();
      StepRouter(i, event);
    }
  }
}

void FleetSimulation::RenewLeases() {
  const bool unavailable = kv_.faults().unavailable;
  for (AgentProcess& process : agents_) {
    if (!unavailable && !process.paused) {
      process.lease_renewed_at = now_;
    }
  }
  for (RouterProcess& process : routers_) {
    const bool reaches = !unavailable && !process.partitioned_from_kv &&
                         !process.terminated && !process.paused;
    if (!reaches) {
      continue;
    }
    process.lease_renewed_at = now_;
    if (now_ < process.next_leases) {
      continue;
    }
    process.next_leases = now_ + kLeasePeriod;
    process.inbox.emplace_back(Leases());
    const auto stored = kv_.stored().find(membership::kFleetKey);
    if (stored->second.version != process.fleet_version) {
      process.fleet_version = stored->second.version;
      membership::FleetCodec codec;
      process.inbox.emplace_back(router::FleetRecordReceived{
          *codec.Decode(stored->second.value), stored->second.version});
    }
  }
}

router::LeasesListed FleetSimulation::Leases() const {
  router::LeasesListed leases;
  for (const RouterProcess& process : routers_) {
    if (now_ - process.lease_renewed_at < kLeaseTtl) {
      leases.routers.insert(process.incarnation);
    }
  }
  for (const AgentProcess& process : agents_) {
    if (now_ - process.lease_renewed_at < kLeaseTtl) {
      leases.agents.insert(process.incarnation);
    }
  }
  return leases;
}

size_t FleetSimulation::answered() const {
  return static_cast<size_t>(
      std::count_if(requests_.begin(), requests_.end(),
                    [](const Request& r) { return r.answered; }));
}

void FleetSimulation::RecordViolation(std::string text) {
  if (violation_.empty()) {
    violation_ = std::move(text);
  }
}

}  // namespace godwit::fleet
