#include "run_times.h"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RunTimes;

TEST_GROUP(RunTimes){};

TEST(RunTimes, KnowsTheLastRequestsOfARoute) {
  struct Case {
    const char* name;
    std::vector<int64_t> times;
    Millis asked_after;
    int percent;
    std::optional<Millis> expected;
  };
  std::vector<int64_t> hundred;
  for (int64_t i = 1; i <= 100; ++i) {
    hundred.push_back(i);
  }
  const std::vector<Case> cases = {
      {"none", {}, Millis(0), 100, std::nullopt},
      {"one", {7}, Millis(0), 90, Millis(7)},
      {"longest", {5, 9, 1}, Millis(0), 100, Millis(9)},
      {"most", {1, 2, 3, 4, 5, 6, 7, 8, 9, 99}, Millis(0), 90, Millis(9)},
      {"recent ones only", hundred, Millis(0), 1, Millis(37)},
      {"a minute later", {7}, Millis(60'000), 90, Millis(7)},
      {"too old", {7}, Millis(60'001), 90, std::nullopt},
  };
  for (const Case& c : cases) {
    RunTimes run_times;
    for (const int64_t time : c.times) {
      run_times.OnAnswered(Millis(1000), "a", Millis(time));
    }
    CHECK_TEXT(run_times.Percentile(Millis(1000) + c.asked_after, "a",
                                    c.percent) == c.expected,
               c.name);
    CHECK_TEXT(!run_times.Percentile(Millis(1000), "b", c.percent), c.name);
  }
}
