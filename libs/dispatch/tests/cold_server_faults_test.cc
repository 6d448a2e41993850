// Schedules of faults of routers, servers and the store while servers are cold.
#include <cstdint>
#include <string>

#include <rapidcheck.h>

#include "router_fleet.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

using ColdStatement = RouterFleet::ColdStatement;

constexpr size_t kServers = 3;
constexpr Millis kSettleTime(20'000);

enum class Fault : uint8_t {
  kRestart,
  kRestartAll,
  kFreeze,
  kCut,
  kCutHalf,
  kStopStore,
  kRestartServer,
  kNone
};

void InjectIntoAll(RouterFleet& fleet, Fault fault, Millis span) {
  for (size_t i = 0; i < fleet.routers(); ++i) {
    if (fault == Fault::kRestartAll) {
      fleet.Restart(i, span + Millis(static_cast<int64_t>(i % 5 * 100)));
    } else if (i % 2 == 0) {
      fleet.Cut(i, span);
    }
  }
}

void Inject(RouterFleet& fleet) {
  const auto fault = static_cast<Fault>(
      *rc::gen::inRange(0, static_cast<int>(Fault::kNone) + 1));
  const size_t router = *rc::gen::inRange<size_t>(0, fleet.routers());
  const Millis span(*rc::gen::inRange<int64_t>(100, 40'000));
  switch (fault) {
    case Fault::kRestart:
      fleet.Restart(router, span);
      return;
    case Fault::kFreeze:
      fleet.Freeze(router, span);
      return;
    case Fault::kCut:
      fleet.Cut(router, span);
      return;
    case Fault::kRestartAll:
    case Fault::kCutHalf:
      InjectIntoAll(fleet, fault, span);
      return;
    case Fault::kStopStore:
      fleet.StopStore(span);
      return;
    case Fault::kRestartServer:
      fleet.StartCold(
          *rc::gen::inRange<size_t>(0, kServers),
          Millis(*rc::gen::inRange<int64_t>(100, 5000)),
          *rc::gen::element(ColdStatement::kAtOnce, ColdStatement::kLate,
                            ColdStatement::kNever));
      return;
    case Fault::kNone:
      return;
  }
}

void RateHolds(bool hides_cold) {
  RouterFleet::Options options;
  options.routers = *rc::gen::weightedElement<size_t>(
      {{600, 4}, {330, 24}, {55, 100}, {15, 320}});
  options.servers = kServers;
  options.slots = 7;
  options.requests_per_second =
      std::max(240.0, 2 * static_cast<double>(options.routers));
  options.cold_rate = *rc::gen::element(0.5, 1.0, 1.5, 4.0, 10.0, 24.0, 60.0);
  options.cold_start = Millis(*rc::gen::inRange<int64_t>(2000, 30'000));
  options.states_cold_in_answers = *rc::gen::arbitrary<bool>();
  options.delivery_jitter = Millis(40);
  options.hides_cold = hides_cold;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  RouterFleet fleet(options);
  fleet.Run(kSettleTime);
  fleet.StartCold(0, Millis(500), ColdStatement::kAtOnce);
  const auto steps = *rc::gen::inRange(0, 10);
  for (int i = 0; i < steps; ++i) {
    Inject(fleet);
    fleet.Run(Millis(*rc::gen::inRange<int64_t>(0, 4000)));
  }
  fleet.Run(Millis(15'000));
  for (size_t i = 0; i < kServers; ++i) {
    RC_ASSERT(fleet.MostPerSecondWhileCold(i, Millis()) <=
              static_cast<int64_t>(1.5 * options.cold_rate + 5));
  }
}

}  // namespace

TEST_GROUP(ColdServerFaults){};

// A cold server that crashes since routers add up to more than its rate.
TEST(ColdServerFaults, RatesHoldOverFaultsOfRoutersServersAndTheStore) {
  CHECK(rc::check("rates hold", [] { RateHolds(false); }));
}

TEST(ColdServerFaults, IgnoredStatementsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { RateHolds(true); }));
}
