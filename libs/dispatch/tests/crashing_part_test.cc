// Replays requests, no two alike, that have one part of their prompts in common
// and crash each server that begins an answer to them.
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
constexpr double kLeastShareBegun = 0.95;

struct Case {
  size_t routers;
  size_t servers;
  double requests_per_second;
  double crashing_per_second;
  // Parts of the crashing prompts around the crashing one.
  std::vector<uint64_t> before;
  std::vector<uint64_t> after;
};

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {1, 3, 30, 2, {1}, {}},       {4, 12, 60, 1, {1}, {}},
      {4, 12, 60, 5, {1, 101}, {}}, {5, 12, 60, 5, {1}, {102, 103}},
      {5, 12, 60, 50, {1}, {}},     {30, 24, 300, 5, {1}, {101}},
      {100, 30, 200, 20, {2}, {}},  {320, 30, 200, 20, {1}, {}},
  };
  return cases;
}

RouterFleet::Options FleetOf(const Case& c) {
  RouterFleet::Options options;
  options.routers = c.routers;
  options.servers = c.servers;
  options.requests_per_second = c.requests_per_second;
  options.has_prompts = true;
  options.events = 17;
  options.event_gap = Millis(60);
  options.timeout = Millis(6000);
  options.slots = 48;
  return options;
}

// What a fleet did while crashing requests arrived.
struct Observation {
  size_t crashes = 0;
  int64_t datagrams = 0;
  // Crashing requests that reached servers after the time that the users allow.
  int64_t sent_late = 0;
  // From then on: requests with the same first part.
  int64_t asked = 0;
  int64_t begun = 0;
  int64_t contained = 0;
};

Observation Observe(const Case& c) {
  RouterFleet fleet(FleetOf(c));
  fleet.Run(Millis(5000));
  const int64_t datagrams = fleet.datagrams();
  fleet.SendCrashingParts(c.crashing_per_second, c.before, c.after);
  const Millis latest = fleet.now() + Millis(6000);
  while (fleet.crashes().crashes.size() < kCrashesUntilKnown &&
         fleet.now() < latest) {
    fleet.Run(Millis(100));
  }
  fleet.Run(kStabilityWindow);
  fleet.Run(kStabilityWindow);
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
         std::to_string(c.crashing_per_second) +
         " crashing requests a second: " + text;
}

const std::vector<Observation>& Observations() {
  static const std::vector<Observation> observations = [] {
    std::vector<Observation> all;
    for (const Case& c : Cases()) {
      all.push_back(Observe(c));
      const Observation& seen = all.back();
      UT_PRINT(
          (Describe(c, std::to_string(seen.crashes) + " crashes, " +
                           std::to_string(seen.datagrams) + " datagrams, " +
                           std::to_string(seen.begun) + " of " +
                           std::to_string(seen.asked) + " beside begun"))
              .c_str());
    }
    return all;
  }();
  return observations;
}

}  // namespace

TEST_GROUP(CrashingPart){};

TEST(CrashingPart, RequestsWithAPartThatCrashedFiveServersReachMore) {
  std::string violations;
  for (size_t i = 0; i < Cases().size(); ++i) {
    const Observation& seen = Observations()[i];
    if (seen.sent_late > kToleratedRequests) {
      violations +=
          Describe(Cases()[i], std::to_string(seen.sent_late) +
                                   " requests sent after the fifth of " +
                                   std::to_string(seen.crashes) + " crashes");
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

TEST(CrashingPart, RequestsBesideACrashingPartAreRefusedOrLost) {
  std::string violations;
  for (size_t i = 0; i < Cases().size(); ++i) {
    const Observation& seen = Observations()[i];
    // All of them begin while nothing crashes.
    if (static_cast<double>(seen.begun) <
            kLeastShareBegun * static_cast<double>(seen.asked) ||
        seen.contained > 0) {
      violations += Describe(Cases()[i],
                             std::to_string(seen.begun) + " of " +
                                 std::to_string(seen.asked) +
                                 " requests with the same first part began, " +
                                 std::to_string(seen.contained) +
                                 " were refused for their content");
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}
