#include "rest_limit.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::relay::RestLimit;

TEST_GROUP(RestLimit){};

TEST(RestLimit, LearnsFromQuickLosses) {
  struct Loss {
    int64_t rested;
    int64_t after;
  };
  struct Case {
    const char* name;
    std::vector<Loss> losses;
    int64_t rested;
    bool allowed;
  };
  const std::vector<Case> cases = {
      {"nothing lost", {}, 3900, true},
      {"lost after a long rest, short rests go on", {{2000, 4}}, 900, true},
      {"lost after a long rest", {{2000, 4}}, 1100, false},
      {"lost again", {{2000, 4}, {900, 4}}, 500, false},
      {"a longer rest teaches nothing new", {{600, 4}, {3000, 4}}, 400, false},
      {"lost while the server worked", {{2000, 400}}, 3900, true},
      {"connections just used always do", {{40, 4}}, 50, true}};
  for (const Case& c : cases) {
    RestLimit limit;
    const Millis now(1000);
    for (const Loss& loss : c.losses) {
      limit.OnLost(now, Millis(loss.rested), Millis(loss.after));
    }
    CHECK_EQUAL_TEXT(c.allowed, limit.Allows(now, Millis(c.rested)), c.name);
    CHECK(limit.Allows(now + Millis(60'000), Millis(c.rested)));
  }
}
