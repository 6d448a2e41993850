// Replays servers that run a valid request and reset its connection instead of
// answering, while they go on answering other requests.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

constexpr uint64_t kSeeds = 10;
// Callers give up a request that waits longer than this for its first event.
constexpr Millis kLongestWait(500);

struct Case {
  const char* name;
  size_t routers;
  size_t servers;
  double requests_per_second;
  int64_t events;
  bool has_prompts;
  // Arrivals of the request, and the time between two of them.
  size_t copies;
  Millis gap;
};

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"one router", 1, 4, 120, 1, false, 3, Millis(50)},
      {"four routers", 4, 8, 240, 1, false, 3, Millis(50)},
      {"four routers, streams", 4, 8, 80, 17, true, 3, Millis(50)},
      {"repeated one at a time", 4, 8, 240, 1, false, 1, Millis(0)},
      {"29 routers", 29, 8, 240, 1, false, 3, Millis(50)},
      {"29 routers, many at once", 29, 8, 240, 1, false, 12, Millis(15)},
  };
  return cases;
}

// The worst of several seeds.
struct Observation {
  int64_t resets = 0;
  int64_t contained = 0;
  int64_t suspicions = 0;
  int64_t unanswered = 0;
  Millis longest_wait;
  Millis longest_wait_of_others;
};

Observation Observe(const Case& c) {
  Observation worst;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RouterFleet::Options options;
    options.routers = c.routers;
    options.servers = c.servers;
    options.requests_per_second = c.requests_per_second;
    options.has_prompts = c.has_prompts;
    options.events = c.events;
    options.event_gap = Millis(60);
    options.timeout = Millis(6000);
    options.slots = 48;
    options.seed = seed;
    RouterFleet fleet(options);
    fleet.Run(Millis(5000));
    const int64_t others = fleet.resets().suspicions;
    fleet.SendResetRequest(c.copies, c.gap, Millis(400));
    fleet.Run(Millis(5000));
    const RouterFleet::ResetCounts& seen = fleet.resets();
    worst.resets = std::max(worst.resets, seen.resets);
    worst.contained = std::max(worst.contained, fleet.bystanders().contained);
    worst.suspicions = std::max(worst.suspicions, seen.suspicions - others);
    worst.unanswered = std::max(worst.unanswered,
                                static_cast<int64_t>(c.copies) - seen.answered);
    worst.longest_wait = std::max(worst.longest_wait, seen.longest_wait);
    worst.longest_wait_of_others =
        std::max(worst.longest_wait_of_others, seen.longest_wait_of_others);
  }
  return worst;
}

}  // namespace

TEST_GROUP(ResetConnection){};

// Guards against the containment of a valid request, at all routers, by losses
// of connections to servers that have not crashed.
TEST(ResetConnection, ValidRequestIsNotContainedWhileItsServersLiveOn) {
  std::string violations;
  for (const Case& c : Cases()) {
    const Observation seen = Observe(c);
    UT_PRINT((std::string("\n") + c.name + ": " + std::to_string(seen.resets) +
              " resets, " + std::to_string(seen.contained) +
              " refused as contained, " + std::to_string(seen.suspicions) +
              " suspicions, " + std::to_string(seen.unanswered) +
              " callers without an answer, waits up to " +
              std::to_string(seen.longest_wait.count()) + " ms, of others " +
              std::to_string(seen.longest_wait_of_others.count()) + " ms")
                 .c_str());
    if (seen.contained > 0) {
      violations += std::string("\n") + c.name + ": contained";
    }
    if (seen.longest_wait > kLongestWait) {
      violations += std::string("\n") + c.name + ": waits too long";
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}
