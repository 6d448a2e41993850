#include "idle_reuse_limit.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::relay::IdleReuseLimit;

TEST_GROUP(IdleReuseLimit){};

TEST(IdleReuseLimit, LearnsFromQuickLosses) {
  struct Loss {
    int64_t idle_time;
    int64_t time_to_loss;
  };
  struct Case {
    const char* name;
    std::vector<Loss> losses;
    int64_t idle_time;
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
    IdleReuseLimit limit;
    const Millis now(1000);
    for (const Loss& loss : c.losses) {
      limit.OnLost(now, Millis(loss.idle_time), Millis(loss.time_to_loss));
    }
    CHECK_EQUAL_TEXT(c.allowed, limit.Allows(now, Millis(c.idle_time)), c.name);
    CHECK(limit.Allows(now + Millis(60'000), Millis(c.idle_time)));
  }
}
