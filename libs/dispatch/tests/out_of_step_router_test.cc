// Replays routers that are out of step while servers of a new software version
// join: they are cut off from the store and the other routers, or stand still,
// and callers reach them nevertheless.
#include <cstddef>
#include <cstdint>
#include <string>

#include <rapidcheck.h>

#include "router_fleet.h"
#include "support/is_falsified.h"
#include "two_versions.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::Describe;
using godwit::dispatch::RouterFleet;
using godwit::dispatch::TwoVersions;

namespace {

enum class Fault : uint8_t { kCut, kPause };

RouterFleet::Options MissingRegistrations(size_t routers) {
  RouterFleet::Options options = TwoVersions(routers);
  options.versions = 1;
  options.misses_registrations = true;
  return options;
}

void Disturb(RouterFleet& fleet, size_t router, Fault fault, Millis span) {
  if (fault == Fault::kCut) {
    fleet.Cut(router, span);
  } else {
    fleet.Freeze(router, span);
  }
}

// Replaces half of the servers by ones of a new version, all but one of which
// end again a little later, so that callers take up the streams that began
// there.
void ReleaseThatFails(RouterFleet& fleet, const std::string& version) {
  constexpr size_t replaced = 6;
  for (size_t i = 0; i < replaced; ++i) {
    fleet.Crash(i, Millis(50), version);
  }
  fleet.Run(Millis(800));
  for (size_t i = 0; i + 1 < replaced; ++i) {
    fleet.Crash(i, Millis(50));
  }
}

// Releases while single routers are out of step, in any order.
void StreamsKeepTheirVersion(bool hides_versions) {
  RouterFleet::Options options =
      MissingRegistrations(*rc::gen::inRange<size_t>(2, 8));
  options.datagram_loss = *rc::gen::element(0.0, 0.01, 0.3);
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.hides_versions = hides_versions;
  RouterFleet fleet(options);
  fleet.Run(Millis(*rc::gen::inRange<int64_t>(1000, 40'000)));
  const int steps = *rc::gen::inRange(1, 12);
  for (int i = 0; i < steps; ++i) {
    const auto router = *rc::gen::inRange<size_t>(0, fleet.routers());
    const Millis span(*rc::gen::inRange<int64_t>(100, 6000));
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        fleet.Restart(router, span);
        break;
      case 1:
        Disturb(fleet, router, Fault::kPause, span);
        break;
      case 2:
        Disturb(fleet, router, Fault::kCut, span);
        break;
      case 3:
        fleet.Crash(*rc::gen::inRange<size_t>(0, options.servers), Millis(50));
        break;
      default:
        ReleaseThatFails(fleet, "v" + std::to_string(i + 1));
        break;
    }
    fleet.Run(Millis(*rc::gen::inRange<int64_t>(0, 2500)));
  }
  fleet.Run(Millis(8000));
  RC_ASSERT(fleet.streams().mixed == 0);
}

}  // namespace

TEST_GROUP(OutOfStepRouter){};

TEST(OutOfStepRouter, StreamGoesOnAtAnotherVersionDuringARelease) {
  struct Case {
    const char* name;
    size_t routers;
    Fault fault;
    int64_t span_ms;
  };
  for (const Case& c :
       {Case{"cut off for 3 s, 4 routers", 4, Fault::kCut, 3000},
        Case{"cut off for 1.4 s, 4 routers", 4, Fault::kCut, 1400},
        Case{"standing still, 4 routers", 4, Fault::kPause, 3000},
        Case{"cut off, 2 routers", 2, Fault::kCut, 3000},
        Case{"cut off, 30 routers", 30, Fault::kCut, 3000}}) {
    RouterFleet::Options options = MissingRegistrations(c.routers);
    options.requests_per_second = 100;
    RouterFleet fleet(options);
    fleet.Run(Millis(40'000));
    for (int release = 0; release < 6; ++release) {
      Disturb(fleet, static_cast<size_t>(release) % c.routers, c.fault,
              Millis(c.span_ms));
      fleet.Run(Millis(50));
      ReleaseThatFails(fleet, "release-" + std::to_string(release));
      fleet.Run(Millis(40'000));
    }
    const RouterFleet::StreamCounts& counts = fleet.streams();
    const std::string what = c.name + (": " + Describe(counts));
    CHECK_EQUAL_TEXT(0, counts.mixed, what.c_str());
    CHECK_TEXT(counts.resumed_asked >= 100, what.c_str());
  }
}

// A router that hears of no other one is out of step, or the only one left.
TEST(OutOfStepRouter, StreamsOfTheOnlyVersionAreResumedAtASurvivor) {
  for (const size_t routers : {2, 4}) {
    RouterFleet fleet(MissingRegistrations(routers));
    fleet.Run(Millis(40'000));
    for (size_t i = 1; i < routers; ++i) {
      fleet.Restart(i, Millis(3000));
    }
    fleet.Run(Millis(8000));
    const RouterFleet::StreamCounts& counts = fleet.streams();
    CHECK_TEXT(counts.resumed_asked >= 5, Describe(counts).c_str());
    CHECK_TEXT(counts.resumed * 100 >= counts.resumed_asked * 95,
               Describe(counts).c_str());
  }
}

TEST(OutOfStepRouter, StreamsKeepTheirVersionOverFaultsAndReleases) {
  CHECK(rc::check("streams keep their version",
                  [] { StreamsKeepTheirVersion(false); }));
}

TEST(OutOfStepRouter, IgnoredVersionsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { StreamsKeepTheirVersion(true); }));
}
