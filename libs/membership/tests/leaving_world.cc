#include "leaving_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace godwit::membership::testing {

namespace {

constexpr int64_t kStep = 100;
constexpr int64_t kHeartbeatPeriod = 500;
constexpr int64_t kMaxTransit = 1000;
constexpr int64_t kSilenceLimit = 2000;
constexpr int64_t kLeavingLimit = 3000;
constexpr int64_t kVmListLag = 30000;
constexpr int64_t kStaleCandidates = 4000;
constexpr int64_t kForEver = 1000000000;

const base::ServiceId kService("chat");

base::ProcessId ProcessOf(int agent) {
  return base::ProcessId("agent-" + std::to_string(agent));
}

FleetAgent EntryOf(int agent, int64_t life, int64_t now) {
  FleetAgent entry;
  entry.process = ProcessOf(agent);
  entry.incarnation =
      base::Incarnation(entry.process.value() + "/" + std::to_string(life));
  entry.ip = "127.0.0.1";
  entry.port = static_cast<uint16_t>(9000 + agent + 100 * life);
  entry.data_centre = base::DataCentreId("dc-" + std::to_string(agent));
  entry.joined_at = base::Millis(now);
  return entry;
}

}  // namespace

LeavingWorld::LeavingWorld(Fault fault, uint64_t seed)
    : fault_(fault), random_(seed), agents_(kAgents), routers_(kRouters) {
  records_.emplace_back();
  std::vector<base::ProcessId> processes;
  for (int i = 0; i < kAgents; ++i) {
    agents_[i].entry = EntryOf(i, 0, 0);
    processes.push_back(ProcessOf(i));
    Publish(Join{agents_[i].entry});
  }
  MembershipSettings settings;
  settings.self = base::ProcessId("router");
  const bool deaf = fault == Fault::kSilenceIgnored;
  settings.link_timeout = base::Millis(deaf ? kForEver : kSilenceLimit);
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

void LeavingWorld::Advance(int64_t ms) {
  for (int64_t end = now_ + ms; now_ < end && violation_.empty();) {
    now_ += kStep;
    std::vector<platform::Vm> list;
    for (const Agent& agent : agents_) {
      list.push_back(platform::Vm{agent.entry.process, agent.entry.ip,
                                  agent.entry.port, "agent",
                                  agent.entry.data_centre, agent.leaving});
    }
    vm_lists_[now_] = std::move(list);
    for (int r = 0; r < kRouters; ++r) {
      for (int i = 0; i < kAgents; ++i) {
        if (now_ % kHeartbeatPeriod == 0) {
          Send(r, i, false);
        }
        Deliver(r, i);
        CloseSilent(r, i);
      }
      Request(r);
      CheckSoundAgentsAreUsed(r);
    }
  }
}

void LeavingWorld::BeginLeaving(int agent, bool writes_record) {
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

void LeavingWorld::Restart(int agent) {
  Agent& next = agents_[agent];
  ++next.lives;
  next.entry = EntryOf(agent, next.lives, now_);
  next.leaving = false;
  Publish(Join{next.entry});
  for (int r = 0; r < kRouters; ++r) {
    Reconnect(r, agent);
  }
}

void LeavingWorld::Heal(int router, int agent) {
  Link& link = links_[router][agent];
  if (link.cut) {
    link.cut = false;
    link.sound_since = now_;
  }
}

// The old connection's messages stay on the way.
void LeavingWorld::Reconnect(int router, int agent) {
  Link& link = links_[router][agent];
  link.connections[next_connection_++] = Connection{false, now_};
  link.sound_since = now_;
  Send(router, agent, true);
}

void LeavingWorld::ReadVmList(int router) {
  auto list = vm_lists_.upper_bound(now_ - kVmListLag);
  if (list != vm_lists_.begin()) {
    routers_[router].membership->OnVmList(base::Millis(now_),
                                          std::prev(list)->second);
  }
}

void LeavingWorld::ReadRecord(int router, int versions_late) {
  const auto newest = static_cast<int>(records_.size()) - 1;
  const int version = std::max(0, newest - versions_late);
  routers_[router].membership->OnFleetRecord(
      base::Millis(now_), records_[static_cast<size_t>(version)], version);
}

link::Hello LeavingWorld::HelloOf(const Agent& agent) const {
  link::Hello hello;
  hello.process = agent.entry.process;
  hello.incarnation = agent.entry.incarnation;
  hello.data_centre = agent.entry.data_centre;
  hello.leaving = agent.leaving;
  return hello;
}

// Each message comes twice, each time with a transit time of its own.
void LeavingWorld::Send(int router, int agent, bool is_hello) {
  Link& link = links_[router][agent];
  std::uniform_int_distribution<int64_t> transit(0, kMaxTransit / kStep);
  for (int copy = 0; copy < (is_hello ? 1 : 2); ++copy) {
    link.on_the_way.push_back(Message{now_ + transit(random_) * kStep,
                                      link.connections.rbegin()->first,
                                      is_hello, HelloOf(agents_[agent])});
  }
}

void LeavingWorld::Deliver(int router, int agent) {
  Link& link = links_[router][agent];
  if (link.cut) {
    return;
  }
  std::vector<Message> waiting;
  auto hello_first = [](const Message& a, const Message& b) {
    return a.is_hello && !b.is_hello;
  };
  std::stable_sort(link.on_the_way.begin(), link.on_the_way.end(), hello_first);
  for (const Message& message : std::exchange(link.on_the_way, {})) {
    const bool early =
        !message.is_hello && !link.connections[message.connection].up;
    if (message.due > now_ || early) {
      waiting.push_back(message);
      continue;
    }
    Receive(routers_[router], link, message);
  }
  link.on_the_way = std::move(waiting);
}

void LeavingWorld::Receive(Router& router, Link& link, const Message& message) {
  const base::Millis now(now_);
  link::Hello said = message.hello;
  const bool ignored =
      fault_ == Fault::kLinksIgnored ||
      (fault_ == Fault::kHeartbeatsIgnored && !message.is_hello);
  said.leaving = said.leaving && !ignored;
  if (message.is_hello) {
    router.membership->OnLinkUp(now, message.connection, said);
  } else {
    router.membership->OnHeartbeat(now, message.connection, said.leaving);
  }
  link.connections[message.connection] = Connection{true, now_};
}

// The transport closes a silent link and the router dials again.
void LeavingWorld::CloseSilent(int router, int agent) {
  Link& link = links_[router][agent];
  if (fault_ == Fault::kSilenceIgnored) {
    return;
  }
  const link::ConnectionId newest = link.connections.rbegin()->first;
  for (auto it = link.connections.begin(); it != link.connections.end();) {
    const link::ConnectionId id = it->first;
    if (now_ - it->second.heard_at < kSilenceLimit) {
      ++it;
      continue;
    }
    it = link.connections.erase(it);
    auto is_closed = [id](const Message& m) { return m.connection == id; };
    auto& way = link.on_the_way;
    way.erase(std::remove_if(way.begin(), way.end(), is_closed), way.end());
    routers_[router].membership->OnLinkDown(base::Millis(now_), id);
  }
  if (link.connections.count(newest) == 0) {
    Reconnect(router, agent);
  }
}

std::vector<AgentView> LeavingWorld::Candidates(Router& router) {
  std::vector<AgentView> usable =
      router.membership->Usable(base::Millis(now_), kService);
  router.usable_at[now_] = usable;
  if (fault_ == Fault::kStaleCandidates) {
    return router.usable_at[now_ - kStaleCandidates];
  }
  return usable;
}

void LeavingWorld::Request(int router) {
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
    const bool late = agent.leaving && now_ - agent.leaving_at >= kLeavingLimit;
    if (late && picked->agent == agent.entry.incarnation) {
      violation_ = picked->agent.value() + " got work " +
                   std::to_string(now_ - agent.leaving_at) +
                   " ms after it began leaving";
    }
  }
}

// Keeps the proof from holding only because no agent gets work.
void LeavingWorld::CheckSoundAgentsAreUsed(int router) {
  constexpr int64_t settle = kMaxTransit + kHeartbeatPeriod;
  const Membership& membership = *routers_[router].membership;
  for (int i = 0; i < kAgents; ++i) {
    const Link& link = links_[router][i];
    const Agent& agent = agents_[i];
    const bool sound = !link.cut && now_ - link.sound_since > settle;
    if (agent.leaving || !sound) {
      continue;
    }
    const auto view =
        membership.Find(base::Millis(now_), agent.entry.incarnation);
    if (!view || !view->connected || view->leaving) {
      violation_ = agent.entry.incarnation.value() + " is sound but unused";
    }
  }
}

void LeavingWorld::Publish(const FleetEdit& edit) {
  records_.push_back(records_.back().Apply(edit));
}

}  // namespace godwit::membership::testing
