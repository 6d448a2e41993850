// Replays backend servers that refuse requests and ask for a time without any.
#include <cstdint>
#include <string>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

// From half a second after its refusal on, a server may get two requests more
// from a router.
constexpr Millis kReactionTime(500);
constexpr int64_t kTolerated = 2;
constexpr Millis kSpan(6000);

RouterFleet::Options Options(size_t routers) {
  RouterFleet::Options options;
  options.routers = routers;
  options.servers = 4;
  options.requests_per_second = 60;
  options.run_time = Millis(200);
  options.slots = 6;
  return options;
}

}  // namespace

TEST_GROUP(TurnedAway){};

TEST(TurnedAway, ServerGetsRequestsWhileItWantsNone) {
  for (const size_t routers : {1, 4, 30}) {
    RouterFleet fleet(Options(routers));
    fleet.Run(Millis(5000));
    for (int i = 0; i < 3; ++i) {
      fleet.TurnAway(0, kSpan);
      fleet.TurnAway(1, Millis(kSpan.count() / 2));
      fleet.Run(kSpan);
      for (const size_t server : {0, 1}) {
        const int64_t most = fleet.MostWhileTurnedAway(server, kReactionTime);
        CHECK_TEXT(most <= kTolerated, (std::to_string(routers) +
                                        " routers: " + std::to_string(most))
                                           .c_str());
      }
    }
    // Afterwards it is used again.
    const Millis ended_at = fleet.now();
    fleet.Run(Millis(10'000));
    CHECK(fleet.ArrivalsBetween(0, ended_at, fleet.now()) > 30);
  }
}

TEST(TurnedAway, RequestsAreRefusedAtOnceWhenAllServersWantNone) {
  RouterFleet fleet(Options(4));
  fleet.Run(Millis(5000));
  for (size_t i = 0; i < 4; ++i) {
    fleet.TurnAway(i, kSpan);
  }
  const int64_t refused = fleet.refused();
  // What arrives in the last 1.5 s may wait for the end of the time.
  fleet.Run(Millis(4000));
  CHECK(fleet.refused() - refused > 200);
  CHECK_TEXT(fleet.longest_refusal() <= Millis(150),
             std::to_string(fleet.longest_refusal().count()).c_str());
  const int64_t answered = fleet.answered();
  fleet.Run(Millis(4000));
  CHECK(fleet.answered() - answered > 80);
  for (size_t i = 0; i < 4; ++i) {
    CHECK(fleet.MostWhileTurnedAway(i, kReactionTime) <= kTolerated);
  }
}
