// Replays a restart of all routers at once during or just after a release, and
// callers that take up the streams that broke off.

#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/millis.h"
#include "router_fleet.h"
#include "support/is_falsified.h"
#include "two_versions.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::Describe;
using godwit::dispatch::RouterFleet;
using godwit::dispatch::TwoVersions;

namespace {

RouterFleet::Options OneVersion(size_t routers) {
  RouterFleet::Options options = TwoVersions(routers);
  options.versions = 1;
  return options;
}

// Replaces servers [0, count) by ones of another version, `gap` apart.
void Release(RouterFleet& fleet,
             size_t count,
             const char* version,
             Millis gap) {
  for (size_t i = 0; i < count; ++i) {
    fleet.Crash(i, Millis(100), version);
    fleet.Run(gap);
  }
}

// Restarts of some or all routers, pauses and partitions of routers, outages of
// the store, and releases that replace some or all servers.
void StreamsKeepTheirVersion(bool hides_versions) {
  RouterFleet::Options options = OneVersion(*rc::gen::inRange<size_t>(2, 8));
  options.datagram_loss = *rc::gen::element(0.0, 0.01, 0.3);
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.hides_versions = hides_versions;
  RouterFleet fleet(options);
  fleet.Run(Millis(*rc::gen::inRange<int64_t>(1000, 40'000)));
  const int steps = *rc::gen::inRange(1, 15);
  for (int i = 0; i < steps; ++i) {
    const auto router = *rc::gen::inRange<size_t>(0, fleet.routers());
    const Millis span(*rc::gen::inRange<int64_t>(100, 6000));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        fleet.Restart(router, span);
        break;
      case 1:
        fleet.Freeze(router, span);
        break;
      case 2:
        fleet.Cut(router, span);
        break;
      case 3:
        fleet.RestartAll(span);
        break;
      default:
        Release(fleet, *rc::gen::inRange<size_t>(1, options.servers + 1),
                ("v" + std::to_string(i)).c_str(),
                Millis(*rc::gen::inRange<int64_t>(0, 300)));
        break;
    }
    fleet.Run(Millis(*rc::gen::inRange<int64_t>(0, 2500)));
  }
  fleet.Run(Millis(8000));
  RC_ASSERT(fleet.streams().mixed == 0);
}

}  // namespace

TEST_GROUP(FleetRestartStreams){};

TEST(FleetRestartStreams, StreamsOfAnEarlierVersionAreNotContinued) {
  struct Case {
    const char* name;
    size_t routers;
    // Servers of twelve that are replaced before the restart.
    size_t replaced;
  };
  const Case cases[] = {
      {"two versions, 4 routers", 4, 6},
      {"the earlier version has just left, 4 routers", 4, 12},
      {"two versions, 30 routers", 30, 6},
      {"the earlier version has just left, 30 routers", 30, 12},
      {"the earlier version has just left, 320 routers", 320, 12},
  };
  for (const Case& c : cases) {
    RouterFleet fleet(OneVersion(c.routers));
    for (int release = 0; release < 3; ++release) {
      const std::string version = "release-" + std::to_string(release);
      fleet.Run(Millis(20'000));
      Release(fleet, c.replaced, version.c_str(), Millis(60));
      fleet.RestartAll(Millis(1000));
    }
    fleet.Run(Millis(8000));
    const std::string what = c.name + (": " + Describe(fleet.streams()));
    CHECK_EQUAL_TEXT(0, fleet.streams().mixed, what.c_str());
  }
}

// The list of versions costs at most two operations on the store for each
// router that starts, and for each release four and one for each router that
// misses a notice, 5 in 100 at most.
TEST(FleetRestartStreams, OperationsOnTheStoreAreFew) {
  for (const size_t routers : {4, 30, 320}) {
    RouterFleet fleet(OneVersion(routers));
    fleet.Run(Millis(20'000));
    const int64_t at_start = fleet.store_operations();
    CHECK(at_start <= static_cast<int64_t>(2 * routers));
    Release(fleet, 12, "next", Millis(60));
    fleet.Run(Millis(60'000));
    const int64_t of_release = fleet.store_operations() - at_start;
    CHECK_TEXT(of_release <= 6 + static_cast<int64_t>(routers) / 20,
               std::to_string(of_release).c_str());
  }
}

// Streams that began after the restart are resumed as before it.
TEST(FleetRestartStreams, StreamsBegunAfterARestartAreResumed) {
  RouterFleet::Options options = OneVersion(30);
  options.requests_per_second = 400;
  RouterFleet fleet(options);
  fleet.Run(Millis(20'000));
  Release(fleet, 6, "next", Millis(60));
  fleet.RestartAll(Millis(1000));
  fleet.Run(Millis(4000));
  const RouterFleet::StreamCounts before = fleet.streams();
  for (size_t i = 0; i < 12; ++i) {
    fleet.Restart(i, Millis(1000));
    fleet.Run(Millis(1500));
  }
  fleet.Run(Millis(5000));
  const RouterFleet::StreamCounts after = fleet.streams();
  const int64_t asked = after.resumed_asked - before.resumed_asked;
  const int64_t resumed = after.resumed - before.resumed;
  const std::string what =
      std::to_string(resumed) + " of " + std::to_string(asked) + " resumed";
  CHECK_TEXT(asked >= 100, what.c_str());
  CHECK_TEXT(resumed * 100 >= asked * 99, what.c_str());
  CHECK_EQUAL(0, after.mixed);
}

// A single version is continued at once after a restart of all routers.
TEST(FleetRestartStreams, StreamsOfTheOnlyVersionAreResumed) {
  for (const size_t routers : {4, 30, 320}) {
    RouterFleet fleet(OneVersion(routers));
    fleet.Run(Millis(20'000));
    fleet.RestartAll(Millis(1000));
    fleet.Run(Millis(5000));
    const RouterFleet::StreamCounts& counts = fleet.streams();
    CHECK_TEXT(counts.resumed_asked >= 10, Describe(counts).c_str());
    CHECK_TEXT(counts.resumed * 100 >= counts.resumed_asked * 99,
               Describe(counts).c_str());
  }
}

TEST(FleetRestartStreams, StreamsKeepTheirVersionOverRestartsAndReleases) {
  CHECK(rc::check("streams keep their version",
                  [] { StreamsKeepTheirVersion(false); }));
}

TEST(FleetRestartStreams, IgnoredVersionsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { StreamsKeepTheirVersion(true); }));
}
