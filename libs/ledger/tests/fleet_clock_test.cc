#include "fleet_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::ledger::FleetClock;

TEST_GROUP(FleetClock){};

TEST(FleetClock, IsTheMedianOfTheClocksHeardLately) {
  struct Reading {
    int64_t at_ms;
    const char* router;
    int64_t wall_ms;
  };
  struct Case {
    const char* name;
    int64_t own_offset_ms;
    std::vector<Reading> readings;
    std::optional<int64_t> earliest_ms;
    std::optional<int64_t> latest_ms;
  };
  // Read at 20,000 ms.
  const std::vector<Case> cases = {
      {"alone", 500, {}, std::nullopt, std::nullopt},
      {"two clocks", 500, {{19'000, "b", 19'500}}, std::nullopt, std::nullopt},
      {"three clocks",
       500,
       {{19'000, "b", 19'510}, {19'000, "c", 19'490}},
       500,
       500},
      {"the own clock jumped",
       90'000,
       {{19'000, "b", 19'510}, {19'000, "c", 19'490}},
       510,
       510},
      {"another clock jumped back",
       500,
       {{19'000, "b", 10'000}, {19'000, "c", 19'490}},
       490,
       490},
      {"an even number",
       500,
       {{19'000, "b", 19'510}, {19'000, "c", 19'490}, {19'900, "d", 30'000}},
       500,
       510},
      {"the least delayed reading of a router counts",
       500,
       {{15'000, "b", 15'500}, {19'000, "b", 19'100}, {19'000, "c", 19'500}},
       500,
       500},
      {"until it is old",
       500,
       {{9'000, "b", 90'000}, {19'000, "b", 19'500}, {19'000, "c", 19'500}},
       500,
       500},
      {"old readings",
       500,
       {{10'000, "b", 10'500}, {10'001, "c", 10'501}},
       std::nullopt,
       std::nullopt},
      {"its own messages and unknown clocks",
       500,
       {{19'000, "a", 19'500}, {19'000, "b", 0}},
       std::nullopt,
       std::nullopt}};
  for (const Case& c : cases) {
    FleetClock clock(ProcessId("a"));
    clock.SetOwn(Millis(c.own_offset_ms));
    for (const Reading& reading : c.readings) {
      clock.Record(Millis(reading.at_ms), ProcessId(reading.router),
                   Millis(reading.wall_ms));
    }
    const auto earliest = clock.Earliest(Millis(20'000));
    const auto latest = clock.Latest(Millis(20'000));
    CHECK_EQUAL_TEXT(c.earliest_ms.has_value(), earliest.has_value(), c.name);
    CHECK_EQUAL_TEXT(c.latest_ms.has_value(), latest.has_value(), c.name);
    if (earliest) {
      CHECK_EQUAL_TEXT(*c.earliest_ms, earliest->count(), c.name);
      CHECK_EQUAL_TEXT(*c.latest_ms, latest->count(), c.name);
    }
  }
}
