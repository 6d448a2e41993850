// Replays a backend server that states in its answers that it is about to stop,
// before or without registering so.
#include <cstdint>
#include <string>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

// Time for which a server that leaves still serves.
constexpr Millis kDrainTime(2000);

}  // namespace

TEST_GROUP(LeavingServer){};

TEST(LeavingServer, ServerGetsRequestsAfterItStatedThatItLeaves) {
  for (const size_t routers : {1, 4, 30}) {
    RouterFleet::Options options;
    options.routers = routers;
    options.servers = 4;
    options.requests_per_second = 60;
    options.run_time = Millis(500);
    options.slots = 12;
    RouterFleet fleet(options);
    fleet.Run(Millis(5000));
    const int64_t refused = fleet.refused();
    fleet.Leave(0);
    fleet.Run(Millis(15'000));
    CHECK_EQUAL_TEXT(0, fleet.ArrivalsAfterLeaving(0, kDrainTime),
                     std::to_string(routers).c_str());
    // The other servers have room for all requests.
    CHECK_TEXT(fleet.refused() - refused <= 5,
               std::to_string(fleet.refused() - refused).c_str());
  }
}

TEST(LeavingServer, RequestsAreRefusedAtOnceWhenAllServersLeave) {
  RouterFleet::Options options;
  options.servers = 3;
  options.requests_per_second = 60;
  RouterFleet fleet(options);
  fleet.Run(Millis(5000));
  for (size_t i = 0; i < options.servers; ++i) {
    fleet.Leave(i);
  }
  fleet.Run(Millis(10'000));
  for (size_t i = 0; i < options.servers; ++i) {
    CHECK_EQUAL(0, fleet.ArrivalsAfterLeaving(i, kDrainTime));
  }
  CHECK(fleet.refused() > 300);
  CHECK(fleet.longest_refusal() <= Millis(100));
}
