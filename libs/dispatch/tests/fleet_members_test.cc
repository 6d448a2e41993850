#include "dispatch/fleet_members.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::dispatch::FleetMembers;
using godwit::ledger::Peer;

namespace {

std::vector<Peer> Routers(const std::vector<std::string>& names) {
  std::vector<Peer> peers;
  for (const std::string& name : names) {
    Peer peer;
    peer.process = ProcessId(name);
    peers.push_back(std::move(peer));
  }
  return peers;
}

}  // namespace

TEST_GROUP(FleetMembers){};

TEST(FleetMembers, KeepsRoutersThatMayRegisterAgain) {
  struct Step {
    int64_t at;
    std::vector<std::string> listed;
    size_t members;
    bool is_settled;
  };
  const std::vector<Step> steps = {
      {1000, {"a", "b", "c"}, 3, false},
      {3000, {"a", "b", "c"}, 3, false},
      // The entries of two were lost; one registers again.
      {5000, {"a"}, 3, false},
      {9000, {"a", "b"}, 3, false},
      {15'000, {"a", "b"}, 3, false},
      {16'000, {"a", "b", "d"}, 4, true},
      {20'000, {"a", "b", "d"}, 3, true},
      {22'000, {"a", "b", "c", "d"}, 4, true},
      // The store was unavailable for so long that leases expired.
      {53'000, {"a", "b", "c", "d"}, 4, false},
      {60'000, {"a", "b", "c", "d"}, 4, false},
      {68'000, {"a", "b", "c", "d"}, 4, true},
  };
  FleetMembers members(ProcessId("a"));
  for (const Step& step : steps) {
    members.SetListed(Millis(step.at), Routers(step.listed));
    CHECK_EQUAL(step.members, members.members().size());
    CHECK_EQUAL(step.is_settled, members.is_settled(Millis(step.at)));
  }
  CHECK(members.is_settled(Millis(97'000)));
  CHECK(!members.is_settled(Millis(98'000)));
}
