// Schedules of faults while backend servers state limits on their requests, and
// what happens once a limit ends or changes.
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "router_fleet.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

constexpr Millis kStabilityWindow(3000);
constexpr double kToleratedPerLimit = 6;
constexpr double kToleratedRequests = 5;
// Until lists of routers were read for long enough.
constexpr Millis kWarmUp(20'000);

int64_t Allowed(double limit) {
  return static_cast<int64_t>(kToleratedPerLimit * limit + kToleratedRequests);
}

RouterFleet::Options LoadedFleet(size_t routers, uint64_t seed) {
  RouterFleet::Options options;
  options.routers = routers;
  options.servers = 6;
  options.requests_per_second = 60;
  options.run_time = Millis(500);
  options.slots = 7;
  options.seed = seed;
  return options;
}

enum class Fault : uint8_t { kRestart, kFreeze, kCut, kStopStore, kNone };

struct Step {
  Fault fault = Fault::kNone;
  size_t router = 0;
  Millis span;
  Millis pause;
};

Step AnyStep() {
  Step step;
  step.fault = static_cast<Fault>(
      *rc::gen::inRange(0, static_cast<int>(Fault::kNone) + 1));
  step.router = *rc::gen::inRange<size_t>(0, 8);
  step.span = Millis(*rc::gen::inRange<int64_t>(100, 30'000));
  step.pause = Millis(*rc::gen::inRange<int64_t>(0, 4000));
  return step;
}

void Inject(RouterFleet& fleet, const Step& step) {
  const size_t router = step.router % fleet.routers();
  switch (step.fault) {
    case Fault::kRestart:
      fleet.Restart(router, step.span);
      return;
    case Fault::kFreeze:
      fleet.Freeze(router, step.span);
      return;
    case Fault::kCut:
      fleet.Cut(router, step.span);
      return;
    case Fault::kStopStore:
      fleet.StopStore(step.span);
      return;
    case Fault::kNone:
      return;
  }
}

void LimitsHold(bool hides_limits) {
  RouterFleet::Options options = LoadedFleet(*rc::gen::inRange<size_t>(1, 8),
                                             *rc::gen::arbitrary<uint64_t>());
  options.hides_limits = hides_limits;
  RouterFleet fleet(options);
  const std::vector<double> limits = {*rc::gen::element(0.3, 0.5, 1.0, 1.2),
                                      *rc::gen::element(2.0, 3.9, 8.0)};
  fleet.Run(kWarmUp);
  for (size_t i = 0; i < limits.size(); ++i) {
    fleet.SetLimit(i, limits[i]);
  }
  const Millis limited_at = fleet.now();
  const auto steps = *rc::gen::inRange(0, 12);
  for (int i = 0; i < steps; ++i) {
    const Step step = AnyStep();
    Inject(fleet, step);
    fleet.Run(step.pause);
  }
  fleet.Run(Millis(20'000));
  for (size_t i = 0; i < limits.size(); ++i) {
    RC_ASSERT(fleet.MostInWindow(i, limited_at + kStabilityWindow,
                                 fleet.now()) <= Allowed(limits[i]));
  }
}

}  // namespace

TEST_GROUP(RequestLimitFaults){};

TEST(RequestLimitFaults, LimitsHoldOverFaultsOfRoutersAndTheStore) {
  CHECK(rc::check("limits hold", [] { LimitsHold(false); }));
}

TEST(RequestLimitFaults, IgnoredLimitsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { LimitsHold(true); }));
}

TEST(RequestLimitFaults, AServerIsUsedAsBeforeOnceItsLimitEnds) {
  struct Case {
    size_t routers;
    double limit;
    double datagram_loss;
    // Time until the routers use the server as before.
    Millis within;
  };
  const std::vector<Case> cases = {
      {1, 0, 0, Millis(16'000)},
      {4, 1.2, 0.01, Millis(8'000)},
      {4, 0, 0.01, Millis(16'000)},
      {5, 3.9, 0.3, Millis(8'000)},
      // Each router finds out by itself.
      {4, 4, 1, Millis(30'000)},
  };
  for (const Case& c : cases) {
    RouterFleet::Options options = LoadedFleet(c.routers, 1);
    options.datagram_loss = c.datagram_loss;
    RouterFleet fleet(options);
    fleet.Run(kWarmUp);
    const int64_t before = fleet.ArrivalsBetween(0, Millis(5000), kWarmUp);
    fleet.SetLimit(0, c.limit);
    fleet.Run(Millis(20'000));
    fleet.SetLimit(0, std::nullopt);
    fleet.Run(c.within);
    const Millis from = fleet.now();
    fleet.Run(Millis(15'000));
    const int64_t after = fleet.ArrivalsBetween(0, from, fleet.now());
    const std::string text = std::to_string(c.routers) + " routers, limit " +
                             std::to_string(c.limit) + ": before " +
                             std::to_string(before) + ", after " +
                             std::to_string(after);
    CHECK_TEXT(after * 2 > before, text.c_str());
  }
}

TEST(RequestLimitFaults, ALoweredLimitHolds) {
  for (const double lowered : {0.0, 0.5, 2.0}) {
    RouterFleet fleet(LoadedFleet(5, 1));
    fleet.Run(kWarmUp);
    fleet.SetLimit(0, 8.0);
    fleet.Run(Millis(10'000));
    fleet.SetLimit(0, lowered);
    const Millis lowered_at = fleet.now();
    fleet.Run(Millis(20'000));
    const int64_t most =
        fleet.MostInWindow(0, lowered_at + kStabilityWindow, fleet.now());
    CHECK_TEXT(most <= Allowed(lowered), std::to_string(most).c_str());
  }
}

TEST(RequestLimitFaults, RequestsThatLimitsLeaveNoRoomForAreRefusedAtOnce) {
  RouterFleet::Options options = LoadedFleet(4, 1);
  options.servers = 1;
  options.slots = 100;
  RouterFleet fleet(options);
  fleet.Run(kWarmUp);
  fleet.SetLimit(0, 1.0);
  fleet.Run(Millis(5000));
  const int64_t answered = fleet.answered();
  const int64_t refused = fleet.refused();
  fleet.Run(Millis(20'000));
  // 60 requests a second, of which the server takes one.
  CHECK(fleet.answered() - answered <= 24);
  CHECK(fleet.answered() - answered >= 12);
  CHECK(fleet.refused() - refused >= 1100);
  // A caller that waits does so for a request that can still be sent.
  CHECK_TEXT(fleet.longest_refusal() <= Millis(100),
             std::to_string(fleet.longest_refusal().count()).c_str());
}
