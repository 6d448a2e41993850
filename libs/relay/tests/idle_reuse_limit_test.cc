#include "idle_reuse_limit.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::relay::IdleReuseLimit;

TEST_GROUP(IdleReuseLimit){};

TEST(IdleReuseLimit, LowersTheLimitAfterQuickLosses) {
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
      {"no loss", {}, 3900, true},
      {"loss after long idle time, short idle time allowed",
       {{2000, 4}},
       900,
       true},
      {"loss after long idle time", {{2000, 4}}, 1100, false},
      {"second loss lowers the limit again", {{2000, 4}, {900, 4}}, 500, false},
      {"loss after longer idle time leaves the limit",
       {{600, 4}, {3000, 4}},
       400,
       false},
      {"late loss is ignored", {{2000, 400}}, 3900, true},
      {"recently used connections always allowed", {{40, 4}}, 50, true}};
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
