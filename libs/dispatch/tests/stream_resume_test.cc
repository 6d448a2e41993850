// Replays restarts of routers, whose callers take their streams up again at
// other routers, while servers of two software versions serve side by side.
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

// Streams of two versions that the users tolerate.
constexpr int64_t kToleratedMixed = 2;

// Of streams that callers take up again, at least half as many must go on as of
// new ones begin.
bool ResumesOften(const RouterFleet::StreamCounts& counts) {
  return 2 * counts.resumed * counts.begun_asked >=
         counts.begun * counts.resumed_asked;
}

// Restarts, pauses and partitions of routers, crashes of servers, and a release
// that replaces servers one after the other.
void StreamsKeepTheirVersion(bool hides_versions) {
  RouterFleet::Options options = TwoVersions(*rc::gen::inRange<size_t>(2, 8));
  options.versions = *rc::gen::inRange<size_t>(1, 4);
  options.datagram_loss = *rc::gen::element(0.0, 0.01, 0.3);
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.hides_versions = hides_versions;
  RouterFleet fleet(options);
  fleet.Run(Millis(*rc::gen::inRange<int64_t>(1000, 40'000)));
  const int steps = *rc::gen::inRange(1, 15);
  for (int i = 0; i < steps; ++i) {
    const auto router = *rc::gen::inRange<size_t>(0, fleet.routers());
    const auto server = *rc::gen::inRange<size_t>(0, options.servers);
    const Millis span(*rc::gen::inRange<int64_t>(100, 6000));
    switch (*rc::gen::inRange(0, 5)) {
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
        fleet.Crash(server, span);
        break;
      default:
        fleet.Crash(server, span, "v" + std::to_string(i));
        break;
    }
    fleet.Run(Millis(*rc::gen::inRange<int64_t>(0, 2500)));
  }
  fleet.Run(Millis(8000));
  RC_ASSERT(fleet.streams().mixed <= kToleratedMixed);
}

}  // namespace

TEST_GROUP(StreamResume){};

TEST(StreamResume, StreamIsResumedAtAnotherVersionAfterARestartOfItsRouter) {
  for (const size_t routers : {4, 30}) {
    RouterFleet fleet(TwoVersions(routers));
    fleet.Run(Millis(20'000));
    for (size_t i = 0; i < 20; ++i) {
      fleet.Restart(i % routers, Millis(1000));
      fleet.Run(Millis(1500));
    }
    fleet.Run(Millis(5000));
    const RouterFleet::StreamCounts& counts = fleet.streams();
    CHECK_EQUAL_TEXT(0, counts.mixed, Describe(counts).c_str());
    CHECK_TEXT(counts.resumed_asked >= 12, Describe(counts).c_str());
    CHECK_TEXT(ResumesOften(counts), Describe(counts).c_str());
  }
}

TEST(StreamResume, StreamsKeepTheirVersionOverFaultsAndReleases) {
  CHECK(rc::check("streams keep their version",
                  [] { StreamsKeepTheirVersion(false); }));
}

TEST(StreamResume, IgnoredVersionsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { StreamsKeepTheirVersion(true); }));
}
