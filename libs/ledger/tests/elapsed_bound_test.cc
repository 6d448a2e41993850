#include "elapsed_bound.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::ledger::ElapsedBound;
using godwit::ledger::WallClocks;

namespace {

ProcessId Router(size_t index) {
  return ProcessId("edge-" + std::to_string(index));
}

}  // namespace

TEST_GROUP(ElapsedBound){};

TEST(ElapsedBound, IsTheLargestOfTheSmallestDifferences) {
  struct Case {
    const char* name;
    std::vector<int64_t> before;
    // Of the same routers; no value if one did not answer.
    std::vector<std::optional<int64_t>> after;
    bool has_quorum;
    bool is_complete;
    std::optional<int64_t> at_most;
  };
  // The bound exceeds the difference by rounding and slew.
  for (const Case& c : std::vector<Case>{
           {"two clocks", {0, 0}, {2'000, 2'000}, false, false, std::nullopt},
           {"clocks that differ",
            {0, 90'000, 500},
            {2'000, 92'000, 2'500},
            true,
            true,
            2'007},
           {"one jumped back",
            {0, 0, 0},
            {2'000, -7'000, 2'000},
            true,
            true,
            2'007},
           {"one jumped ahead",
            {0, 0, 0},
            {2'000, 9'000, 2'000},
            true,
            true,
            2'007},
           {"one jumped ahead, one did not answer",
            {0, 0, 0},
            {2'000, 9'000, std::nullopt},
            true,
            false,
            9'014},
           {"one answered",
            {0, 0, 0},
            {2'000, std::nullopt, std::nullopt},
            false,
            false,
            std::nullopt},
           {"two of five answered",
            {0, 0, 0, 0, 0},
            {2'000, 2'000, std::nullopt, std::nullopt, std::nullopt},
            false,
            false,
            std::nullopt},
           {"most ran backwards",
            {0, 0, 0},
            {-5, -5, 2'000},
            true,
            true,
            std::nullopt}}) {
    WallClocks before;
    WallClocks after;
    for (size_t i = 0; i < c.before.size(); ++i) {
      before[Router(i)] = Millis(c.before[i]);
      if (c.after[i]) {
        after[Router(i)] = Millis(*c.after[i]);
      }
    }
    after[ProcessId("another")] = Millis(1);
    const ElapsedBound bound(before, after);
    CHECK_EQUAL_TEXT(c.has_quorum, bound.has_quorum(), c.name);
    CHECK_EQUAL_TEXT(c.is_complete, bound.is_complete(), c.name);
    CHECK_EQUAL_TEXT(c.at_most.has_value(), bound.at_most().has_value(),
                     c.name);
    CHECK_EQUAL_TEXT(c.at_most.value_or(0),
                     bound.at_most().value_or(Millis(0)).count(), c.name);
  }
}

// Guards against a bound below the time that has passed, which would free
// tokens that were used.
TEST(ElapsedBound, HoldsWhileFewerThanHalfOfTheClocksJump) {
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<size_t>(3, 12);
    const auto elapsed = *rc::gen::inRange<int64_t>(0, 60'000);
    const auto jumping = *rc::gen::inRange<size_t>(0, (count - 1) / 2 + 1);
    WallClocks before;
    WallClocks after;
    for (size_t i = 0; i < count; ++i) {
      const auto clock = *rc::gen::inRange<int64_t>(-90'000, 90'000);
      const auto jump =
          i < jumping ? *rc::gen::inRange<int64_t>(-90'000, 90'000) : 0;
      const auto early = *rc::gen::inRange<int64_t>(0, 300);
      const auto late = *rc::gen::inRange<int64_t>(0, 300);
      // Clocks may be slewed by 500 parts in a million.
      const auto slew =
          elapsed * *rc::gen::inRange<int64_t>(-500, 501) / int64_t{1'000'000};
      before[Router(i)] = Millis(clock - early);
      if (*rc::gen::inRange(0, 4) > 0) {
        after[Router(i)] = Millis(clock + elapsed + slew + jump + late);
      }
    }
    const ElapsedBound bound(before, after);
    if (bound.at_most()) {
      RC_ASSERT(bound.at_most()->count() >= elapsed);
    }
  }));
}
