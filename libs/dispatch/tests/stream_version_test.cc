// Replays crashes of servers while servers of two software versions serve
// streams side by side.
#include "router_fleet.h"
#include "two_versions.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::Describe;
using godwit::dispatch::RouterFleet;
using godwit::dispatch::TwoVersions;

TEST_GROUP(StreamVersion){};

TEST(StreamVersion, StreamContinuesAtAnotherVersionAfterACrashOfItsServer) {
  RouterFleet fleet(TwoVersions(4));
  fleet.Run(Millis(5000));
  for (size_t i = 0; i < 12; ++i) {
    fleet.Crash(i % 8, Millis(1500));
    fleet.Run(Millis(2000));
  }
  fleet.Run(Millis(5000));
  const RouterFleet::StreamCounts& counts = fleet.streams();
  CHECK_EQUAL_TEXT(0, counts.mixed, Describe(counts).c_str());
  CHECK_TEXT(counts.completed * 10 > counts.begun * 9,
             Describe(counts).c_str());
}
