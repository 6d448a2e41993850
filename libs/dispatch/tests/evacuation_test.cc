// Replays the evacuation of data centres while a fleet of routers is under
// load.
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "router_fleet.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::DataCentreId;
using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

using DataCentres = std::set<DataCentreId>;

constexpr Millis kSettleTime(20'000);
// All routers that reach the store comply within this time.
constexpr Millis kComplianceTime(5000);
const DataCentreId kFirst("dc0");
const DataCentreId kSecond("dc1");

int64_t Allowed(double rate) {
  return static_cast<int64_t>(1.5 * rate + 5);
}

// Four servers in two data centres.
RouterFleet::Options LoadedFleet(size_t routers) {
  RouterFleet::Options options;
  options.routers = routers;
  options.servers = 4;
  options.data_centres = 2;
  options.slots = 8;
  // More than two servers can serve.
  options.requests_per_second = 400;
  options.cold_rate = 10;
  options.cold_start = Millis(8000);
  options.delivery_jitter = Millis(40);
  return options;
}

int64_t ArrivalsInFirst(const RouterFleet& fleet, Millis from) {
  return fleet.ArrivalsBetween(0, from, fleet.now()) +
         fleet.ArrivalsBetween(2, from, fleet.now());
}

}  // namespace

TEST_GROUP(Evacuation){};

// Requests that were queued, retried or arrive later are sent to a data centre
// that is about to be switched off.
TEST(Evacuation, NothingIsSentToAnEvacuatedDataCentre) {
  for (const bool is_stream : {false, true}) {
    RouterFleet::Options options = LoadedFleet(24);
    if (is_stream) {
      // Few enough for the servers of one data centre.
      options.requests_per_second = 4;
      options.events = 20;
      options.timeout = Millis(10'000);
    }
    RouterFleet fleet(options);
    fleet.Run(kSettleTime);
    fleet.SetEvacuations({kFirst});
    fleet.Run(kComplianceTime);
    const Millis from = fleet.now();
    const int64_t answered = fleet.answered();
    fleet.Run(Millis(10'000));
    CHECK_EQUAL(0, fleet.sent_to_evacuated());
    CHECK_EQUAL(0, ArrivalsInFirst(fleet, from));
    CHECK(fleet.answered() - answered > 20);
    if (is_stream) {
      // Streams in progress there run to completion.
      CHECK_EQUAL(0, fleet.streams().resumed_asked);
      CHECK(fleet.streams().completed > 100);
    }
  }
}

// Servers whose caches are cold after the evacuation get full load at once.
TEST(Evacuation, ServersAreColdAfterTheReturn) {
  struct Case {
    size_t routers;
    Millis evacuated_for;
  };
  const std::vector<Case> cases = {{4, Millis(10'000)},
                                   {24, Millis(10'000)},
                                   {100, Millis(10'000)},
                                   {24, Millis(2000)}};
  for (const Case& c : cases) {
    RouterFleet fleet(LoadedFleet(c.routers));
    fleet.Run(kSettleTime);
    fleet.SetEvacuations({kFirst});
    fleet.Run(c.evacuated_for);
    fleet.SetEvacuations({});
    const Millis from = fleet.now();
    fleet.Run(Millis(8000));
    const int64_t most = fleet.MostPerSecondWhileCold(0, from);
    CHECK_TEXT(most > 0 && most <= Allowed(10), std::to_string(most).c_str());
    // The last router learns of the return two seconds late.
    fleet.Run(Millis(3000));
    const Millis warm_at = fleet.now();
    fleet.Run(Millis(4000));
    const int64_t warm = fleet.ArrivalsBetween(0, warm_at, fleet.now());
    CHECK_TEXT(warm > 4 * 40, std::to_string(warm).c_str());
  }
}

// Callers that wait for servers to which nothing may be sent.
TEST(Evacuation, RequestsAreRefusedAtOnceIfAllDataCentresAreEvacuated) {
  RouterFleet fleet(LoadedFleet(4));
  fleet.Run(kSettleTime);
  fleet.SetEvacuations({kFirst, kSecond});
  fleet.Run(Millis(2000));
  const Millis from = fleet.now();
  const int64_t refused = fleet.refused();
  fleet.Run(Millis(5000));
  CHECK(fleet.refused() - refused > 1800);
  CHECK_EQUAL(0, fleet.sent_to_evacuated());
  for (size_t i = 0; i < 4; ++i) {
    CHECK_EQUAL(0, fleet.ArrivalsBetween(i, from, fleet.now()));
  }
  fleet.SetEvacuations({});
  const int64_t answered = fleet.answered();
  fleet.Run(Millis(6000));
  CHECK(fleet.answered() - answered > 80);
}

namespace {

void EvacuationsHold(bool hides_evacuations) {
  RouterFleet::Options options =
      LoadedFleet(*rc::gen::weightedElement<size_t>({{8, 4}, {2, 24}}));
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.hides_evacuations = hides_evacuations;
  RouterFleet fleet(options);
  fleet.Run(kSettleTime);
  const auto steps = *rc::gen::inRange(2, 10);
  for (int i = 0; i < steps; ++i) {
    const Millis span(*rc::gen::inRange<int64_t>(100, 20'000));
    const size_t router = *rc::gen::inRange<size_t>(0, options.routers);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        fleet.Restart(router, span);
        break;
      case 1:
        fleet.Cut(router, span);
        break;
      case 2:
        fleet.StopStore(span);
        break;
      case 3:
        fleet.SetEvacuations({});
        break;
      default:
        fleet.SetEvacuations(*rc::gen::element(DataCentres{kFirst},
                                               DataCentres{kSecond},
                                               DataCentres{kFirst, kSecond}));
        // All routers that reach the store learn of it before it ends.
        fleet.Run(Millis(2000));
        break;
    }
    fleet.Run(Millis(*rc::gen::inRange<int64_t>(0, 5000)));
  }
  fleet.Run(Millis(15'000));
  RC_ASSERT(fleet.sent_to_evacuated() == 0);
}

}  // namespace

TEST(Evacuation, NothingIsSentOverFaultsOfRoutersAndTheStore) {
  CHECK(rc::check("evacuations hold", [] { EvacuationsHold(false); }));
}

TEST(Evacuation, IgnoredEvacuationsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { EvacuationsHold(true); }));
}
