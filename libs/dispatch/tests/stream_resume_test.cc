// Replays restarts of routers, whose callers take their streams up again at
// other routers, while servers of two software versions serve side by side.
#include <cstdint>
#include <string>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

RouterFleet::Options TwoVersions(size_t routers) {
  RouterFleet::Options options;
  options.routers = routers;
  options.servers = 12;
  options.versions = 2;
  options.requests_per_second = 40;
  options.events = 17;
  options.event_gap = Millis(60);
  options.timeout = Millis(6000);
  return options;
}

std::string Describe(const RouterFleet::StreamCounts& counts) {
  return std::to_string(counts.mixed) + " streams of two versions; " +
         std::to_string(counts.resumed) + " of " +
         std::to_string(counts.resumed_asked) + " resumed, " +
         std::to_string(counts.begun) + " of " +
         std::to_string(counts.begun_asked) + " begun, " +
         std::to_string(counts.completed) + " completed";
}

// Of streams that callers take up again, at least half as many must go on as of
// new ones begin.
bool ResumesOften(const RouterFleet::StreamCounts& counts) {
  return 2 * counts.resumed * counts.begun_asked >=
         counts.begun * counts.resumed_asked;
}

}  // namespace

TEST_GROUP(StreamResume){};

TEST(StreamResume, StreamIsResumedAtAnotherVersionAfterARestartOfItsRouter) {
  for (const size_t routers : {4, 30}) {
    RouterFleet fleet(TwoVersions(routers));
    fleet.Run(Millis(20'000));
    for (size_t i = 0; i < 12; ++i) {
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
