#include "leaving_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace godwit::membership::testing {

namespace {

constexpr int64_t kStepMs = 100;
constexpr int64_t kHeartbeatPeriodMs = 500;
constexpr int64_t kMaxTransitMs = 1000;
constexpr int64_t kLinkTimeoutMs = 2000;
constexpr int64_t kLeavingLimitMs = 3000;
constexpr int64_t kVmListLagMs = 30000;
constexpr int64_t kStaleCandidatesAgeMs = 4000;
constexpr int64_t kNeverMs = 1000000000;

const base::ServiceId kService("chat");

base::ProcessId ProcessOf(int agent) {
  return base::ProcessId("agent-" + std::to_string(agent));
}

FleetAgent EntryOf(int agent, int64_t restart_count, int64_t now) {
  FleetAgent entry;
  entry.process = ProcessOf(agent);
  entry.incarnation = base::Incarnation(entry.process.value() + "/" +
                                        std::to_string(restart_count));
  entry.ip = "127.0.0.1";
  entry.port = static_cast<uint16_t>(9000 + agent + 100 * restart_count);
  entry.data_centre = base::DataCentreId("dc-" + std::to_string(agent));
  entry.joined_at = base::Millis(now);
  return entry;
}

}  // namespace

LeavingSimulation::LeavingSimulation(InjectedFault fault, uint64_t seed)
    : injected_fault_(fault),
      random_(seed),
      agents_(kAgents),
      routers_(kRouters) {
  records_.emplace_back();
  std::vector<base::ProcessId> processes;
  for (int i = 0; i < kAgents; ++i) {
    agents_[i].entry = EntryOf(i, 0, 0);
    processes.push_back(ProcessOf(i));
    Publish(Join{agents_[i].entry});
  }
  MembershipSettings settings;
  settings.self = base::ProcessId("router");
  const bool ignores_timeout = fault == InjectedFault::kIgnoreLinkTimeout;
  settings.link_timeout =
      base::Millis(ignores_timeout ? kNeverMs : kLinkTimeoutMs);
  links_.assign(kRouters, std::vector<Link>(kAgents));
  for (int r = 0; r < kRouters; ++r) {
    routers_[r].membership = std::make_unique<Membership>(settings);
    routers_[r].membership->SetServices({{kService, processes}});
    routers_[r].picker = std::make_unique<routing::Picker>(
        routing::PickerSettings(), std::mt19937_64(seed + r));
    ReadRecord(r, 0);
    for (int i = 0; i < kAgents; ++i) {
      Reconnect(r, i);
    }
  }
}

void LeavingSimulation::Advance(int64_t ms) {
  for (int64_t end = now_ + ms; now_ < end && violation_.empty();) {
    now_ += kStepMs;
    std::vector<platform::Vm> list;
    for (const Agent& agent : agents_) {
      list.push_back(platform::Vm{agent.entry.process, agent.entry.ip,
                                  agent.entry.port, "agent",
                                  agent.entry.data_centre, agent.leaving});
    }
    vm_lists_[now_] = std::move(list);
    for (int r = 0; r < kRouters; ++r) {
      for (int i = 0; i < kAgents; ++i) {
        if (now_ % kHeartbeatPeriodMs == 0) {
          Send(r, i, false);
        }
        Deliver(r, i);
        CloseUnresponsive(r, i);
      }
      Request(r);
      CheckHealthyAgentsAreUsed(r);
    }
  }
}

void LeavingSimulation::BeginLeaving(int agent, bool writes_record) {
  Agent& leaving = agents_[agent];
  if (leaving.leaving) {
    return;
  }
  leaving.leaving = true;
  leaving.leaving_at = now_;
  if (writes_record) {
    Publish(MarkLeaving{leaving.entry.incarnation});
  }
}

void LeavingSimulation::Restart(int agent) {
  Agent& next = agents_[agent];
  ++next.restarts;
  next.entry = EntryOf(agent, next.restarts, now_);
  next.leaving = false;
  Publish(Join{next.entry});
  for (int r = 0; r < kRouters; ++r) {
    Reconnect(r, agent);
  }
}

void LeavingSimulation::Recover(int router, int agent) {
  Link& link = links_[router][agent];
  if (link.partitioned) {
    link.partitioned = false;
    link.healthy_since = now_;
  }
}

// Messages of the old connection stay in transit.
void LeavingSimulation::Reconnect(int router, int agent) {
  Link& link = links_[router][agent];
  link.connections[next_connection_++] = Connection{false, now_};
  link.healthy_since = now_;
  Send(router, agent, true);
}

void LeavingSimulation::ReadVmList(int router) {
  auto list = vm_lists_.upper_bound(now_ - kVmListLagMs);
  if (list != vm_lists_.begin()) {
    routers_[router].membership->OnVmList(base::Millis(now_),
                                          std::prev(list)->second);
  }
}

void LeavingSimulation::ReadRecord(int router, int versions_late) {
  const auto newest = static_cast<int>(records_.size()) - 1;
  const int version = std::max(0, newest - versions_late);
  routers_[router].membership->OnFleetRecord(
      base::Millis(now_), records_[static_cast<size_t>(version)], version);
}

link::Hello LeavingSimulation::HelloOf(const Agent& agent) const {
  link::Hello hello;
  hello.process = agent.entry.process;
  hello.incarnation = agent.entry.incarnation;
  hello.data_centre = agent.entry.data_centre;
  hello.leaving = agent.leaving;
  return hello;
}

// Each heartbeat is sent twice, each copy with a transit time of its own.
void LeavingSimulation::Send(int router, int agent, bool is_hello) {
  Link& link = links_[router][agent];
  std::uniform_int_distribution<int64_t> transit(0, kMaxTransitMs / kStepMs);
  for (int copy = 0; copy < (is_hello ? 1 : 2); ++copy) {
    link.in_transit.push_back(Message{now_ + transit(random_) * kStepMs,
                                      link.connections.rbegin()->first,
                                      is_hello, HelloOf(agents_[agent])});
  }
}

void LeavingSimulation::Deliver(int router, int agent) {
  Link& link = links_[router][agent];
  if (link.partitioned) {
    return;
  }
  std::vector<Message> waiting;
  auto hello_first = [](const Message& a, const Message& b) {
    return a.is_hello && !b.is_hello;
  };
  std::stable_sort(link.in_transit.begin(), link.in_transit.end(), hello_first);
  for (const Message& message : std::exchange(link.in_transit, {})) {
    const bool early =
        !message.is_hello && !link.connections[message.connection].up;
    if (message.due > now_ || early) {
      waiting.push_back(message);
      continue;
    }
    Receive(routers_[router], link, message);
  }
  link.in_transit = std::move(waiting);
}

void LeavingSimulation::Receive(Router& router,
                                Link& link,
                                const Message& message) {
  const base::Millis now(now_);
  link::Hello received = message.hello;
  const bool ignored = injected_fault_ == InjectedFault::kIgnoreLinks ||
                       (injected_fault_ == InjectedFault::kIgnoreHeartbeats &&
                        !message.is_hello);
  received.leaving = received.leaving && !ignored;
  if (message.is_hello) {
    router.membership->OnLinkUp(now, message.connection, received);
  } else {
    router.membership->OnHeartbeat(now, message.connection, received.leaving);
  }
  link.connections[message.connection] = Connection{true, now_};
}

// The transport closes an unresponsive link and the router dials again.
void LeavingSimulation::CloseUnresponsive(int router, int agent) {
  Link& link = links_[router][agent];
  if (injected_fault_ == InjectedFault::kIgnoreLinkTimeout) {
    return;
  }
  const link::ConnectionId newest = link.connections.rbegin()->first;
  for (auto it = link.connections.begin(); it != link.connections.end();) {
    const link::ConnectionId id = it->first;
    if (now_ - it->second.last_received_at < kLinkTimeoutMs) {
      ++it;
      continue;
    }
    it = link.connections.erase(it);
    auto is_closed = [id](const Message& m) { return m.connection == id; };
    auto& messages = link.in_transit;
    messages.erase(std::remove_if(messages.begin(), messages.end(), is_closed),
                   messages.end());
    routers_[router].membership->OnLinkDown(base::Millis(now_), id);
  }
  if (link.connections.count(newest) == 0) {
    Reconnect(router, agent);
  }
}

std::vector<AgentView> LeavingSimulation::Candidates(Router& router) {
  std::vector<AgentView> usable =
      router.membership->Usable(base::Millis(now_), kService);
  router.usable_at[now_] = usable;
  if (injected_fault_ == InjectedFault::kUseStaleCandidates) {
    return router.usable_at[now_ - kStaleCandidatesAgeMs];
  }
  return usable;
}

void LeavingSimulation::Request(int router) {
  std::vector<routing::Candidate> candidates;
  for (const AgentView& view : Candidates(routers_[router])) {
    candidates.push_back(
        routing::Candidate{view.incarnation, view.data_centre, 8});
  }
  routing::Picker& picker = *routers_[router].picker;
  const routing::PickRequest request;
  const routing::Pick pick =
      picker.Choose(base::Millis(now_), request, candidates);
  const auto* picked = std::get_if<routing::PickedAgent>(&pick);
  if (picked == nullptr) {
    return;
  }
  const base::AttemptId attempt(std::to_string(++picks_));
  picker.OnStarted(base::Millis(now_), attempt, picked->agent, request);
  picker.OnEnded(base::Millis(now_), attempt);
  for (const Agent& agent : agents_) {
    const bool late =
        agent.leaving && now_ - agent.leaving_at >= kLeavingLimitMs;
    if (late && picked->agent == agent.entry.incarnation) {
      violation_ = picked->agent.value() + " got work " +
                   std::to_string(now_ - agent.leaving_at) +
                   " ms after it began leaving";
    }
  }
}

// Prevents the proof from holding only because no agent gets work.
void LeavingSimulation::CheckHealthyAgentsAreUsed(int router) {
  constexpr int64_t settle = kMaxTransitMs + kHeartbeatPeriodMs;
  const Membership& membership = *routers_[router].membership;
  for (int i = 0; i < kAgents; ++i) {
    const Link& link = links_[router][i];
    const Agent& agent = agents_[i];
    const bool healthy =
        !link.partitioned && now_ - link.healthy_since > settle;
    if (agent.leaving || !healthy) {
      continue;
    }
    const auto view =
        membership.Find(base::Millis(now_), agent.entry.incarnation);
    if (!view || !view->connected || view->leaving) {
      violation_ = agent.entry.incarnation.value() + " is healthy but unused";
    }
  }
}

void LeavingSimulation::Publish(const FleetEdit& edit) {
  records_.push_back(records_.back().Apply(edit));
}

}  // namespace godwit::membership::testing
