#include "daemon/stop_plan.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::daemon::StopPlan;
using Action = StopPlan::Action;

namespace {

struct ExpectedStep {
  int64_t now_ms;
  size_t open_calls;
  bool drained;
  Action expected;
};

struct Case {
  const char* name;
  std::vector<ExpectedStep> steps;
};

constexpr StopPlan::Limits kLimits{Millis(100), Millis(1000), Millis(200)};

}  // namespace

TEST_GROUP(StopPlan){};

TEST(StopPlan, FollowsOrderAndTimeouts) {
  const Case cases[] = {
      {"in order",
       {{0, 2, false, Action::kNone},
        {99, 0, false, Action::kNone},
        {100, 2, false, Action::kRefuse},
        {150, 2, false, Action::kNone},
        {500, 0, false, Action::kNone},
        {600, 0, true, Action::kEnd},
        {700, 0, true, Action::kNone}}},
      {"drain timeout",
       {{100, 1, false, Action::kRefuse},
        {1099, 1, false, Action::kNone},
        {1100, 1, false, Action::kEndDrainTimedOut},
        {2000, 1, false, Action::kNone}}},
      {"budget return timeout, counted from the last request",
       {{100, 1, false, Action::kRefuse},
        {1050, 0, false, Action::kNone},
        {1100, 0, false, Action::kNone},
        {1249, 0, false, Action::kNone},
        {1250, 0, false, Action::kEndReturnTimedOut}}},
  };
  for (const Case& c : cases) {
    StopPlan plan(kLimits);
    CHECK_TEXT(plan.Step(Millis(5000), 0, true) == Action::kNone, c.name);
    plan.Begin(Millis(0));
    plan.Begin(Millis(90));
    for (const ExpectedStep& step : c.steps) {
      CHECK_TEXT(plan.Step(Millis(step.now_ms), step.open_calls,
                           step.drained) == step.expected,
                 c.name);
    }
    CHECK_TEXT(plan.ended(), c.name);
  }
}
