// Replays restarts of all routers at once while requests with a part of their
// prompts that crashes servers arrive.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

constexpr Millis kStabilityWindow(3000);
constexpr size_t kCrashesUntilKnown = 5;
constexpr int64_t kToleratedRequests = 3;
constexpr uint64_t kSeeds = 30;
constexpr int kRestarts = 2;

}  // namespace

TEST_GROUP(CrashContainmentRestart){};

TEST(CrashContainmentRestart, RoutersForgetWhatIsContainedWhenAllRestart) {
  struct Case {
    size_t routers;
    size_t servers;
    double crashing_per_second;
    // From the first crashing request to the first restart.
    Millis lead;
  };
  const std::vector<Case> cases = {
      {1, 12, 40, Millis(250)},
      {4, 12, 40, Millis(250)},
      {4, 4, 10, Millis(250)},
      {5, 12, 10, Millis(1000)},
  };
  std::string violations;
  for (const Case& c : cases) {
    int64_t most = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      RouterFleet::Options options;
      options.routers = c.routers;
      options.servers = c.servers;
      options.requests_per_second = 40;
      options.has_prompts = true;
      options.events = 17;
      options.event_gap = Millis(60);
      options.timeout = Millis(6000);
      options.slots = 48;
      options.seed = seed;
      RouterFleet fleet(options);
      fleet.Run(Millis(3000));
      fleet.SendCrashingParts(c.crashing_per_second, {1}, {});
      fleet.Run(c.lead);
      for (int i = 0; i < kRestarts; ++i) {
        for (size_t router = 0; router < c.routers; ++router) {
          fleet.Restart(router, Millis(250));
        }
        fleet.Run(Millis(500));
      }
      fleet.Run(Millis(12'000));
      most = std::max(
          most, fleet.SentAfterCrash(kCrashesUntilKnown, kStabilityWindow));
    }
    if (most > kToleratedRequests) {
      violations += "\n" + std::to_string(c.routers) + " routers, " +
                    std::to_string(c.servers) +
                    " servers: " + std::to_string(most) + " requests sent late";
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}
