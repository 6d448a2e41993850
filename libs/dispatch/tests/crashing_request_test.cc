// Replays one request that comes again and again, at any router, and crashes
// each server that runs it.
#include <cstdint>
#include <string>
#include <vector>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

constexpr Millis kStabilityWindow(3000);
constexpr size_t kCrashesUntilKnown = 3;
constexpr int64_t kToleratedRequests = 3;
constexpr double kLeastShareBegun = 0.95;

struct Case {
  size_t routers;
  size_t servers;
  double requests_per_second;
  double crashing_per_second;
};

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {1, 4, 20, 1},    {4, 4, 30, 0.5},   {4, 4, 30, 3},      {5, 12, 60, 10},
      {30, 24, 200, 5}, {100, 30, 200, 3}, {320, 30, 200, 10},
  };
  return cases;
}

// What a fleet did while the request came again.
struct Observation {
  size_t crashes = 0;
  int64_t datagrams = 0;
  // Repeats that reached servers after the time that the users allow.
  int64_t sent_late = 0;
  // From then on: other requests.
  int64_t asked = 0;
  int64_t begun = 0;
  int64_t contained = 0;
};

Observation Observe(const Case& c) {
  RouterFleet::Options options;
  options.routers = c.routers;
  options.servers = c.servers;
  options.requests_per_second = c.requests_per_second;
  options.events = 1;
  options.event_gap = Millis(60);
  options.timeout = Millis(1500);
  options.slots = 6;
  RouterFleet fleet(options);
  fleet.Run(Millis(5000));
  const int64_t datagrams = fleet.datagrams();
  fleet.SendCrashingRequest(c.crashing_per_second);
  fleet.Run(Millis(12'000));
  const RouterFleet::BystanderCounts from = fleet.bystanders();
  fleet.Run(Millis(8000));
  return {fleet.crashes().crashes.size(),
          fleet.datagrams() - datagrams,
          fleet.SentAfterCrash(kCrashesUntilKnown, kStabilityWindow),
          fleet.bystanders().asked - from.asked,
          fleet.bystanders().begun - from.begun,
          fleet.bystanders().contained};
}

std::string Describe(const Case& c, const std::string& text) {
  return "\n" + std::to_string(c.routers) + " routers, " +
         std::to_string(c.crashing_per_second) + " repeats a second: " + text;
}

}  // namespace

TEST_GROUP(CrashingRequest){};

TEST(CrashingRequest, RepeatsOfARequestThatCrashedThreeServersReachMore) {
  std::string violations;
  for (const Case& c : Cases()) {
    const Observation seen = Observe(c);
    UT_PRINT(Describe(c, std::to_string(seen.crashes) + " crashes, " +
                             std::to_string(seen.datagrams) + " datagrams, " +
                             std::to_string(seen.begun) + " of " +
                             std::to_string(seen.asked) + " others begun")
                 .c_str());
    if (seen.sent_late > kToleratedRequests) {
      violations += Describe(c, std::to_string(seen.sent_late) +
                                    " repeats sent after the third of " +
                                    std::to_string(seen.crashes) + " crashes");
    }
    // All of the others begin while nothing crashes.
    if (static_cast<double>(seen.begun) <
            kLeastShareBegun * static_cast<double>(seen.asked) ||
        seen.contained > 0) {
      violations += Describe(
          c, std::to_string(seen.begun) + " of " + std::to_string(seen.asked) +
                 " other requests began, " + std::to_string(seen.contained) +
                 " were refused for their content");
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}
