#include "membership/membership.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include "link/hello.h"

#include <CppUTest/TestHarness.h>

using godwit::base::DataCentreId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::Seconds;
using godwit::base::ServiceId;
using godwit::link::ConnectionId;
using godwit::link::Hello;
using godwit::membership::AgentState;
using godwit::membership::FleetAgent;
using godwit::membership::FleetRecord;
using godwit::membership::Membership;
using godwit::membership::MembershipSettings;
using godwit::platform::Vm;

namespace {

const ServiceId kChat("chat");
constexpr int kAgents = 60;
constexpr int kRouters = 40;
constexpr size_t kSubset = 12;

std::string Name(int i) {
  return "agent-" + std::to_string(i);
}

FleetAgent Agent(int i, AgentState state = AgentState::kActive) {
  FleetAgent agent;
  agent.process = ProcessId(Name(i));
  agent.incarnation = Incarnation(Name(i) + "-incarnation");
  agent.ip = "127.0.0.1";
  agent.port = static_cast<uint16_t>(9000 + i);
  agent.data_centre = DataCentreId("dc-" + std::to_string(i % 3));
  agent.state = state;
  return agent;
}

FleetRecord Fleet(int count) {
  std::vector<FleetAgent> agents;
  agents.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    agents.push_back(Agent(i));
  }
  return FleetRecord(agents);
}

Membership Router(const std::string& name, int agents, size_t subset = 16) {
  MembershipSettings settings;
  settings.self = ProcessId(name);
  settings.subset_size = subset;
  Membership membership(settings);
  std::vector<ProcessId> processes;
  processes.reserve(static_cast<size_t>(agents));
  for (int i = 0; i < agents; ++i) {
    processes.emplace_back(Name(i));
  }
  membership.SetServices({{kChat, processes}});
  return membership;
}

Hello HelloOf(const FleetAgent& agent, bool leaving = false) {
  Hello hello;
  hello.process = agent.process;
  hello.incarnation = agent.incarnation;
  hello.data_centre = agent.data_centre;
  hello.leaving = leaving;
  return hello;
}

}  // namespace

TEST_GROUP(Membership){};

TEST(Membership, UsesAnAgentOnlyWhileItMayTakeWork) {
  struct Case {
    const char* name;
    AgentState state;
    bool vm_leaving;
    bool hello_leaving;
    bool heartbeat_leaving;
    int64_t idle_ms;
    bool down;
    bool usable;
  };
  const std::vector<Case> cases = {
      {"link up", AgentState::kActive, false, false, false, 0, false, true},
      {"within the link timeout", AgentState::kActive, false, false, false,
       1999, false, true},
      {"link timeout", AgentState::kActive, false, false, false, 2000, false,
       false},
      {"record says leaving", AgentState::kLeaving, false, false, false, 0,
       false, false},
      {"record says removed", AgentState::kRemoved, false, false, false, 0,
       false, false},
      {"VM list says leaving", AgentState::kActive, true, false, false, 0,
       false, false},
      {"hello says leaving", AgentState::kActive, false, true, false, 0, false,
       false},
      {"heartbeat says leaving", AgentState::kActive, false, false, true, 0,
       false, false},
      {"link down", AgentState::kActive, false, false, false, 0, true, false},
  };
  for (const Case& c : cases) {
    Membership membership = Router("router-1", 1);
    const FleetAgent agent = Agent(0, c.state);
    membership.OnFleetRecord(Millis(0), FleetRecord({agent}), 1);
    membership.OnVmList(Millis(0),
                        {Vm{agent.process, agent.ip, agent.port, "agent",
                            agent.data_centre, c.vm_leaving}});
    membership.OnLinkUp(Millis(0), 1, HelloOf(agent, c.hello_leaving));
    membership.OnHeartbeat(Millis(0), 1, c.heartbeat_leaving);
    if (c.down) {
      membership.OnLinkDown(Millis(0), 1);
    }
    const auto usable = membership.Usable(Millis(c.idle_ms), kChat);
    CHECK_EQUAL_TEXT(c.usable, usable.size() == 1, c.name);
  }
}

TEST(Membership, LeavingIsFinalForAnIncarnation) {
  Membership membership = Router("router-1", 1);
  const FleetAgent agent = Agent(0);
  membership.OnFleetRecord(Millis(0), FleetRecord({agent}), 1);
  membership.OnLinkUp(Millis(0), 1, HelloOf(agent));
  membership.OnLinkUp(Millis(1), 2, HelloOf(agent));
  membership.OnHeartbeat(Millis(2), 1, true);
  membership.OnHeartbeat(Millis(3), 2, false);
  CHECK(membership.Usable(Millis(4), kChat).empty());
  membership.OnLinkDown(Millis(5), 2);
  membership.OnLinkUp(Millis(6), 3, HelloOf(agent));
  CHECK(membership.Usable(Millis(6), kChat).empty());

  FleetAgent next = agent;
  next.incarnation = Incarnation("next incarnation");
  membership.OnLinkUp(Millis(7), 4, HelloOf(next));
  CHECK_EQUAL(1, membership.Usable(Millis(7), kChat).size());
}

TEST(Membership, IgnoresOlderRecords) {
  Membership membership = Router("router-1", 1);
  membership.OnFleetRecord(Millis(0),
                           FleetRecord({Agent(0, AgentState::kLeaving)}), 5);
  membership.OnFleetRecord(Millis(0), FleetRecord({Agent(0)}), 4);
  LONGS_EQUAL(5, membership.version());
  CHECK(membership.Find(Millis(0), Agent(0).incarnation)->leaving);
}

TEST(Membership, ChoosesBalancedSubsets) {
  std::map<ProcessId, int> links;
  for (int r = 0; r < kRouters; ++r) {
    Membership membership =
        Router("router-" + std::to_string(r), kAgents, kSubset);
    membership.OnFleetRecord(Millis(0), Fleet(kAgents), 1);
    std::map<DataCentreId, int> data_centres;
    for (const ProcessId& process : membership.Subset(kChat)) {
      ++links[process];
      ++data_centres[membership.record().FindLive(process)->data_centre];
    }
    LONGS_EQUAL(3, data_centres.size());
    for (const auto& [data_centre_id, count] : data_centres) {
      LONGS_EQUAL(4, count);
    }
  }
  // The mean is 8 links per agent.
  LONGS_EQUAL(kAgents, links.size());
  for (const auto& [process, count] : links) {
    CHECK(count <= 20);
  }
}

TEST(Membership, SubsetsChangeByAtMostOneWhenAnAgentIsRemoved) {
  for (int removed = 0; removed < kAgents; ++removed) {
    Membership membership = Router("router-1", kAgents, kSubset);
    membership.OnFleetRecord(Millis(0), Fleet(kAgents), 1);
    const auto before = membership.Subset(kChat);
    std::vector<FleetAgent> agents = Fleet(kAgents).agents();
    agents.erase(agents.begin() + removed);
    membership.OnFleetRecord(Millis(0), FleetRecord(agents), 2);
    const auto after = membership.Subset(kChat);
    std::set<ProcessId> kept(before.begin(), before.end());
    int moved = 0;
    for (const ProcessId& process : after) {
      moved += kept.count(process) == 0 ? 1 : 0;
    }
    LONGS_EQUAL(kSubset, after.size());
    CHECK(moved <= 1);
  }
}

TEST(Membership, DialsWithBackoffUntilTheLinkIsUp) {
  Membership membership = Router("router-1", 1);
  CHECK(membership.TakeDialTargets(Millis(0)).empty());
  membership.OnFleetRecord(Millis(0), Fleet(1), 1);
  std::vector<int64_t> dialled;
  for (int64_t at = 0; at < 4000; at += 50) {
    if (!membership.TakeDialTargets(Millis(at)).empty()) {
      dialled.push_back(at);
    }
  }
  CHECK((dialled == std::vector<int64_t>{0, 250, 750, 1750, 3750}));
  membership.OnLinkUp(Millis(4000), 1, HelloOf(Agent(0)));
  CHECK(membership.TakeDialTargets(Millis(5000)).empty());
  // Unresponsive links are replaced.
  LONGS_EQUAL(1, membership.TakeDialTargets(Millis(6000)).size());
  membership.OnLinkUp(Millis(6010), 2, HelloOf(Agent(0)));
  CHECK(
      (membership.UnwantedLinks(Millis(6010)) == std::vector<ConnectionId>{1}));
}

TEST(Membership, DialsAFewAgentsBeforeTheFirstConfiguration) {
  MembershipSettings settings;
  settings.self = ProcessId("router-1");
  Membership membership(settings);
  CHECK(membership.TakeDialTargets(Millis(0)).empty());
  std::vector<Vm> vms;
  for (int i = 0; i < kAgents; ++i) {
    const FleetAgent agent = Agent(i);
    vms.push_back(Vm{agent.process, agent.ip, agent.port, "agent",
                     agent.data_centre, false});
  }
  membership.OnVmList(Millis(0), vms);
  LONGS_EQUAL(3, membership.TakeDialTargets(Millis(0)).size());
  membership.SetServices({{kChat, {ProcessId(Name(0))}}});
  LONGS_EQUAL(1, membership.TakeDialTargets(Seconds(10)).size());
}

TEST(Membership, KeepsALinkOutsideTheSubsetUntilTheGivenTime) {
  Membership membership = Router("router-1", 0);
  membership.OnFleetRecord(Millis(0), Fleet(1), 1);
  CHECK(membership.TakeDialTargets(Millis(0)).empty());
  membership.KeepLinkUntil(ProcessId(Name(0)), Seconds(10));
  LONGS_EQUAL(1, membership.TakeDialTargets(Millis(0)).size());
  membership.OnLinkUp(Millis(1), 1, HelloOf(Agent(0)));
  CHECK(membership.UnwantedLinks(Millis(9999)).empty());
  LONGS_EQUAL(1, membership.UnwantedLinks(Seconds(10)).size());
}

TEST(Membership, FindsLapsedIncarnations) {
  struct Case {
    const char* name;
    bool linked;
    bool lease;
    int64_t last_read_s;
    bool lapsed;
  };
  const std::vector<Case> cases = {
      {"no link or lease", false, false, 15, true},
      {"before the removal timeout", false, false, 14, false},
      {"lease", false, true, 15, false},
      {"linked", true, false, 15, false},
  };
  for (const Case& c : cases) {
    Membership membership = Router("router-1", 1);
    const FleetAgent agent = Agent(0);
    membership.OnFleetRecord(Millis(0), FleetRecord({agent}), 1);
    std::set<Incarnation> live;
    if (c.lease) {
      live.insert(agent.incarnation);
    }
    membership.OnLeases(Seconds(0), live);
    if (c.linked) {
      membership.OnLinkUp(Seconds(c.last_read_s), 1, HelloOf(agent));
    }
    membership.OnLeases(Seconds(c.last_read_s), live);
    const auto lapsed = membership.Lapsed(Seconds(c.last_read_s));
    CHECK_EQUAL_TEXT(c.lapsed, lapsed.size() == 1, c.name);
  }
}
