#ifndef MEMBERSHIP_TESTS_LEAVING_SIMULATION_H_
#define MEMBERSHIP_TESTS_LEAVING_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "link/hello.h"
#include "membership/fleet_record.h"
#include "membership/membership.h"
#include "routing/picker.h"

namespace godwit::membership::testing {

// A defect that the proof must detect.
enum class InjectedFault {
  kNone,
  // Only the VM list and the fleet record report which agents are leaving.
  kIgnoreLinks,
  // An unresponsive link keeps its agent usable.
  kIgnoreLinkTimeout,
  // Only the first message on a link reports whether the agent is leaving.
  kIgnoreHeartbeats,
  // Picks are made among the candidates that were usable 4 s ago.
  kUseStaleCandidates,
};

// Simulates routers and agents in virtual time, with links that a test
// partitions, delays and replaces, a VM list that lags by 30 s, and a fleet
// record that is read late. Messages take up to 1 s, are reordered except for
// the Hello, and are received twice; those held by a partition are all
// delivered at once when it ends. A connection without a received message for 2
// s is closed.
class LeavingSimulation {
 public:
  static constexpr int kRouters = 2;
  static constexpr int kAgents = 3;

  LeavingSimulation(InjectedFault fault, uint64_t seed);

  // Advances time; every router gets a request at each step of 100 ms.
  void Advance(int64_t ms);
  void BeginLeaving(int agent, bool writes_record);
  void Restart(int agent);
  void Partition(int router, int agent) {
    links_[router][agent].partitioned = true;
  }
  void Recover(int router, int agent);
  void Reconnect(int router, int agent);
  void ReadVmList(int router);
  void ReadRecord(int router, int versions_late);

  // First violation of an invariant; empty if there was none.
  const std::string& violation() const { return violation_; }
  int64_t picks() const { return picks_; }

 private:
  struct Message {
    int64_t due = 0;
    link::ConnectionId connection = 0;
    bool is_hello = false;
    link::Hello hello;
  };
  struct Agent {
    FleetAgent entry;
    bool leaving = false;
    int64_t leaving_at = 0;
    int64_t restarts = 0;
  };
  struct Connection {
    bool up = false;
    int64_t last_received_at = 0;
  };
  struct Link {
    // Connections that are open or being opened; the last one is in use.
    std::map<link::ConnectionId, Connection> connections;
    bool partitioned = false;
    // Time since which the link has had no fault.
    int64_t healthy_since = 0;
    std::vector<Message> in_transit;
  };
  struct Router {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<routing::Picker> picker;
    std::map<int64_t, std::vector<AgentView>> usable_at;
  };

  link::Hello HelloOf(const Agent& agent) const;
  void Send(int router, int agent, bool is_hello);
  void Deliver(int router, int agent);
  void Receive(Router& router, Link& link, const Message& message);
  void CloseUnresponsive(int router, int agent);
  std::vector<AgentView> Candidates(Router& router);
  void Request(int router);
  void CheckHealthyAgentsAreUsed(int router);
  void Publish(const FleetEdit& edit);

  InjectedFault injected_fault_;
  std::mt19937_64 random_;
  int64_t now_ = 0;
  link::ConnectionId next_connection_ = 1;
  std::vector<Agent> agents_;
  std::vector<Router> routers_;
  std::vector<std::vector<Link>> links_;
  std::vector<FleetRecord> records_;
  std::map<int64_t, std::vector<platform::Vm>> vm_lists_;
  std::string violation_;
  int64_t picks_ = 0;
};

}  // namespace godwit::membership::testing

#endif  // MEMBERSHIP_TESTS_LEAVING_SIMULATION_H_
