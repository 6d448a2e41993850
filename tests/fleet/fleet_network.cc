#include <algorithm>
#include <utility>

#include "agent/call_backend.h"
#include "agent/cancel_backend.h"
#include "agent/drained.h"
#include "agent/send_message.h"
#include "connection.h"
#include "fleet_simulation.h"

namespace godwit::fleet {
namespace {

constexpr base::Millis kLinkTimeout = base::Seconds(2);
constexpr base::Millis kHeartbeatPeriod(500);
// Time between the link timeout and the closing of the link. A router may open
// another link before the old one is closed.
constexpr base::Millis kCloseDelay(150);
constexpr base::Millis kHandshakeTime(10);
constexpr uint64_t kMaxLatencyMs = 30;
// Upper bound of the pause between two pieces of an answer.
constexpr uint64_t kMaxPieceGapMs = 300;
constexpr size_t kPieceBytes = 60;
// Chance in percent that the network delivers a message twice.
constexpr uint64_t kDuplicatePercent = 3;

}  // namespace

void FleetSimulation::StepRouter(size_t index,
                                 const router::RouterEvent& event) {
  for (const router::RouterCommand& command :
       routers_[index].core->Step(now_, event)) {
    std::visit([&](const auto& c) { HandleRouterCommand(index, c); }, command);
  }
}

void FleetSimulation::StepAgent(size_t index, const agent::AgentEvent& event) {
  for (const agent::AgentCommand& command :
       agents_[index].core->Step(now_, event)) {
    std::visit([&](const auto& c) { HandleAgentCommand(index, c); }, command);
  }
}

void FleetSimulation::HandleRouterCommand(size_t router,
                                          const router::SendMessage& command) {
  for (const auto& connection : connections_) {
    if (connection->id == command.connection && connection->up &&
        connection->router == router && !connection->closing) {
      connection->to_agent.emplace_back(
          now_ + base::Millis(static_cast<int64_t>(random_() % kMaxLatencyMs)),
          command.message);
    }
  }
}

void FleetSimulation::HandleAgentCommand(size_t,
                                         const agent::SendMessage& command) {
  for (const auto& connection : connections_) {
    if (connection->id == command.connection && connection->up &&
        !connection->closing) {
      const base::Millis at =
          now_ + base::Millis(static_cast<int64_t>(random_() % kMaxLatencyMs));
      connection->to_router.emplace_back(at, Tamper(command.message));
      if (random_() % 100 < kDuplicatePercent) {
        connection->to_router.emplace_back(at, command.message);
      }
    }
  }
}

void FleetSimulation::HandleRouterCommand(size_t router,
                                          const router::DialAgent& command) {
  auto connection = std::make_unique<Connection>();
  connection->id = next_connection_++;
  connection->router = router;
  connection->agent = command.port - size_t{1};
  connection->agent_incarnation = agents_[connection->agent].incarnation;
  connection->agent_process = command.process;
  connection->opens_at = now_ + kHandshakeTime;
  connections_.push_back(std::move(connection));
}

void FleetSimulation::HandleRouterCommand(size_t,
                                          const router::CloseLink& command) {
  for (const auto& connection : connections_) {
    if (connection->id == command.connection) {
      CloseConnection(*connection, kHandshakeTime);
    }
  }
}

void FleetSimulation::HandleRouterCommand(size_t router,
                                          const platform::KvRead& command) {
  kv_.Submit(now_, static_cast<int>(router), command);
}

void FleetSimulation::HandleRouterCommand(size_t router,
                                          const platform::KvWrite& command) {
  kv_.Submit(now_, static_cast<int>(router), command);
}

void FleetSimulation::HandleRouterCommand(size_t, const router::RequestEnded&) {
}

void FleetSimulation::HandleRouterCommand(size_t router,
                                          const router::Drained&) {
  routers_[router].drained = true;
}

void FleetSimulation::HandleAgentCommand(size_t agent, const agent::Drained&) {
  agents_[agent].drained = true;
}

void FleetSimulation::CloseConnection(Connection& connection,
                                      base::Millis after) {
  if (!connection.closing) {
    connection.closing = true;
    connection.closed_at = now_ + after;
  }
}

bool FleetSimulation::IsBlocked(const Connection& connection) const {
  return connection.stalled ||
         partitioned_links_.count({connection.router, connection.agent}) != 0;
}

void FleetSimulation::DeliverMessages() {
  for (size_t i = 0; i < connections_.size(); ++i) {
    Connection& connection = *connections_[i];
    RouterProcess& router = routers_[connection.router];
    AgentProcess& agent = agents_[connection.agent];
    const bool incarnation_ended =
        agent.incarnation != connection.agent_incarnation || router.terminated;
    if (!connection.up && !connection.closing && now_ >= connection.opens_at) {
      if (incarnation_ended || IsBlocked(connection) || agent.paused ||
          router.paused) {
        CloseConnection(connection, base::Millis());
      } else {
        connection.up = true;
        connection.router_last_received_at = now_;
        connection.agent_last_received_at = now_;
        link::Hello hello;
        hello.process = agent.process;
        hello.incarnation = agent.incarnation;
        hello.data_centre = base::DataCentreId("dc-0");
        hello.leaving = agent.core->leaving();
        router.inbox.emplace_back(
            router::LinkOpened{connection.id, std::move(hello)});
        agent.inbox.emplace_back(
            agent::LinkUp{connection.id, router.process, router.incarnation});
      }
    }
    const bool timed_out =
        now_ - connection.router_last_received_at >= kLinkTimeout ||
        now_ - connection.agent_last_received_at >= kLinkTimeout;
    if (connection.up && !connection.closing &&
        (timed_out || incarnation_ended)) {
      CloseConnection(connection,
                      incarnation_ended ? base::Millis() : kCloseDelay);
    }
    if (connection.closing && now_ >= connection.closed_at) {
      connection.done = true;
      if (!router.terminated) {
        router.inbox.emplace_back(
            router::LinkClosed{connection.id, connection.agent_process});
      }
      if (connection.up && agent.incarnation == connection.agent_incarnation) {
        agent.inbox.emplace_back(agent::LinkDown{connection.id});
      }
      continue;
    }
    if (!connection.up || IsBlocked(connection)) {
      continue;
    }
    while (!connection.to_router.empty() &&
           connection.to_router.front().first <= now_) {
      router.inbox.emplace_back(router::LinkMessageReceived{
          connection.id, std::move(connection.to_router.front().second)});
      connection.to_router.pop_front();
      connection.router_last_received_at = now_;
    }
    while (!connection.to_agent.empty() &&
           connection.to_agent.front().first <= now_) {
      agent.inbox.emplace_back(agent::LinkMessage{
          connection.id, std::move(connection.to_agent.front().second)});
      connection.to_agent.pop_front();
      connection.agent_last_received_at = now_;
    }
  }
  connections_.erase(
      std::remove_if(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->done; }),
      connections_.end());
}

void FleetSimulation::SendHeartbeats() {
  if (now_ < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now_ + kHeartbeatPeriod;
  const auto fleet = kv_.stored().find(membership::kFleetKey);
  for (const auto& connection : connections_) {
    if (!connection->up || connection->closing) {
      continue;
    }
    const AgentProcess& agent = agents_[connection->agent];
    if (!agent.paused) {
      link::Heartbeat heartbeat;
      heartbeat.leaving = agent.core->leaving();
      heartbeat.running = agent.core->running();
      heartbeat.queued = agent.core->queued();
      heartbeat.fleet_version =
          kv_.faults().unavailable ? 0 : fleet->second.version;
      connection->to_router.emplace_back(now_, heartbeat);
    }
    if (!routers_[connection->router].paused) {
      connection->to_agent.emplace_back(now_, link::Heartbeat());
    }
  }
}

link::Message FleetSimulation::Tamper(link::Message message) const {
  if (auto* owner = std::get_if<link::KeyOwner>(&message);
      owner != nullptr &&
      injected_fault_ == InjectedFault::kDirectoryAcceptsEveryOwner) {
    owner->attempt = owner->queried_attempt;
    owner->complete = true;
  }
  if (auto* state = std::get_if<link::RunState>(&message);
      state != nullptr && injected_fault_ == InjectedFault::kFalseTombstones) {
    state->phase = link::RunPhase::kTombstoned;
  }
  if (auto* usage = std::get_if<link::GrantUsage>(&message);
      usage != nullptr && injected_fault_ == InjectedFault::kUsageOmitted) {
    usage->billed = 0;
    usage->running = 0;
    usage->sealed = true;
  }
  if (injected_fault_ == InjectedFault::kAnswersReplaced) {
    if (auto* data = std::get_if<link::RunData>(&message)) {
      std::fill(data->bytes.begin(), data->bytes.end(), 'x');
    }
    if (auto* end = std::get_if<link::RunEnd>(&message)) {
      end->digest =
          base::Digest::Of(std::string(static_cast<size_t>(end->length), 'x'));
    }
  }
  return message;
}

void FleetSimulation::HandleAgentCommand(size_t agent,
                                         const agent::CallBackend& command) {
  AgentProcess& process = agents_[agent];
  BackendRun run;
  run.body = command.start.body;
  run.remaining = BackendModel::AnswerTo(run.body).substr(
      command.start.answer_prefix.size());
  run.next_at =
      now_ + base::Millis(1 + static_cast<int64_t>(random_() % kMaxPieceGapMs));
  const bool refuses = process.failures > 0 && random_() % 2 == 0;
  run.fails = process.failures > 0 && !refuses;
  process.failures = std::max(process.failures - 1, 0);
  if (refuses) {
    process.inbox.emplace_back(agent::BackendFailed{
        command.attempt, false, base::ErrorKind::kUnavailable, "refused"});
    return;
  }
  backend_.OnExecuted(run.body);
  if (injected_fault_ == InjectedFault::kDuplicateExecution) {
    backend_.OnExecuted(run.body);
  }
  process.runs[command.attempt] = std::move(run);
}

void FleetSimulation::HandleAgentCommand(size_t agent,
                                         const agent::CancelBackend& command) {
  AgentProcess& process = agents_[agent];
  if (process.runs.erase(command.attempt) > 0) {
    process.inbox.emplace_back(agent::BackendFailed{
        command.attempt, true, base::ErrorKind::kCancelled, "cancelled"});
  }
}

void FleetSimulation::RunBackends() {
  for (size_t i = 0; i < agents_.size(); ++i) {
    std::vector<base::AttemptId> due;
    for (const auto& [attempt, run] : agents_[i].runs) {
      if (run.next_at <= now_) {
        due.push_back(attempt);
      }
    }
    for (const base::AttemptId& attempt : due) {
      RunBackend(i, attempt);
    }
  }
}

void FleetSimulation::RunBackend(size_t agent, const base::AttemptId& attempt) {
  AgentProcess& process = agents_[agent];
  BackendRun& run = process.runs[attempt];
  run.next_at =
      now_ + base::Millis(1 + static_cast<int64_t>(random_() % kMaxPieceGapMs));
  if (!run.head_sent) {
    run.head_sent = true;
    process.inbox.emplace_back(
        agent::BackendHead{attempt, 200, "text/event-stream"});
    return;
  }
  if (run.remaining.empty()) {
    process.inbox.emplace_back(
        agent::BackendEnd{attempt, BackendModel::BillOf(run.body), 0});
    process.runs.erase(attempt);
    return;
  }
  if (run.fails && run.remaining.size() < kPieceBytes * 3) {
    process.inbox.emplace_back(agent::BackendFailed{
        attempt, true, base::ErrorKind::kBackendFailed, "engine failed"});
    process.runs.erase(attempt);
    return;
  }
  process.inbox.emplace_back(
      agent::BackendData{attempt, run.remaining.substr(0, kPieceBytes), 0});
  run.remaining.erase(0, kPieceBytes);
}

}  // namespace godwit::fleet
