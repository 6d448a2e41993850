// Replays a backend server that states a limit on its requests while a fleet of
// routers is under load, and counts what the server received.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

// Time from the first answer with a limit until the limit holds.
constexpr Millis kStabilityWindow(3000);
// In any four seconds, a server may receive one and a half times what its limit
// allows, and five requests.
constexpr double kWindowSeconds = 4;
constexpr double kToleratedShare = 1.5;
constexpr double kToleratedRequests = 5;
// Of the limits, under load.
constexpr double kLeastShareUsed = 0.7;
constexpr int kMeasuredSeconds = 20;

int64_t Allowed(double limit) {
  return static_cast<int64_t>(kToleratedShare * limit * kWindowSeconds +
                              kToleratedRequests);
}

std::string Describe(size_t routers, double limit, int64_t received) {
  return std::to_string(routers) + " routers, limit " + std::to_string(limit) +
         ": " + std::to_string(received) + " requests in 4 s, allowed " +
         std::to_string(Allowed(limit));
}

}  // namespace

TEST_GROUP(RequestLimitFleet){};

TEST(RequestLimitFleet, ServerGetsMoreRequestsThanTheLimitItStated) {
  struct Case {
    size_t routers;
    double requests_per_second;
    double limit;
  };
  const std::vector<Case> cases = {
      {1, 60, 1.2},   {4, 70, 0.5},     {4, 70, 1.2},  {5, 70, 3.9},
      {5, 200, 10},   {30, 400, 1.2},   {30, 400, 20}, {100, 1400, 2},
      {320, 4400, 1}, {320, 4400, 100},
  };
  std::string violations;
  for (const Case& c : cases) {
    RouterFleet::Options options;
    options.routers = c.routers;
    options.requests_per_second = c.requests_per_second;
    RouterFleet fleet(options);
    fleet.Run(Millis(15'000));
    const Millis limited_at = fleet.now();
    fleet.SetLimit(0, c.limit);
    fleet.Run(Millis(20'000));
    const int64_t received =
        fleet.MostInWindow(0, limited_at + kStabilityWindow, fleet.now());
    if (received > Allowed(c.limit)) {
      violations += "\n" + Describe(c.routers, c.limit, received);
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

// Most servers state limits, and the others cannot serve the load alone.
TEST(RequestLimitFleet, RoutersUseMostOfTheLimitsUnderLoad) {
  struct Case {
    size_t routers;
    size_t servers;
    double requests_per_second;
    double limit;
  };
  const std::vector<Case> cases = {
      {4, 12, 70, 0.5}, {5, 12, 70, 2},    {5, 12, 70, 3.9},
      {30, 24, 300, 5}, {100, 24, 400, 8}, {320, 24, 800, 10},
  };
  std::string low;
  for (const Case& c : cases) {
    RouterFleet::Options options;
    options.routers = c.routers;
    options.servers = c.servers;
    options.requests_per_second = c.requests_per_second;
    options.run_time = Millis(1500);
    options.timeout = Millis(10'000);
    options.slots = 48;
    RouterFleet fleet(options);
    fleet.Run(Millis(20'000));
    const size_t limited = c.servers * 11 / 12;
    for (size_t i = 0; i < limited; ++i) {
      fleet.SetLimit(i, c.limit);
    }
    fleet.Run(Millis(5'000));
    const Millis from = fleet.now();
    fleet.Run(godwit::base::Seconds(kMeasuredSeconds));
    int64_t received = 0;
    int64_t most = 0;
    for (size_t i = 0; i < limited; ++i) {
      received += fleet.ArrivalsBetween(i, from, fleet.now());
      most = std::max(most, fleet.MostInWindow(i, from, fleet.now()));
    }
    const double used =
        static_cast<double>(received) /
        (kMeasuredSeconds * c.limit * static_cast<double>(limited));
    if (used < kLeastShareUsed || most > Allowed(c.limit)) {
      low += "\n" + Describe(c.routers, c.limit, most) + ", used " +
             std::to_string(used);
    }
  }
  STRCMP_EQUAL("", low.c_str());
}
