// Random schedules near the end of a budget: at no time is more used than the
// limit allows, whatever fails while a budget is scarce.
#include <cstdint>

#include <rapidcheck.h>

#include "metered_simulation.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::MeteredSimulation;
using godwit::ledger::TimedRequest;

namespace {

constexpr size_t kRouters = 4;
constexpr Tokens kLimit = 60'000;

int64_t InRange(int64_t min, int64_t max) {
  return *rc::gen::inRange<int64_t>(min, max);
}

// Requests that together use up the budget within seconds.
void RequestAll(MeteredSimulation& simulation) {
  for (size_t router = 0; router < kRouters; ++router) {
    TimedRequest request;
    request.amount = InRange(50, 3'000);
    request.used = request.amount * InRange(0, 101) / 100;
    request.duration = Millis(InRange(5, 500));
    request.urgency = InRange(0, 3);
    request.is_proven = InRange(0, 10) > 0;
    simulation.Request(router, request);
  }
}

void Disturb(MeteredSimulation& simulation) {
  const auto router = static_cast<size_t>(InRange(0, kRouters));
  switch (InRange(0, 8)) {
    case 0:
      simulation.Restart(router, *rc::gen::arbitrary<bool>());
      break;
    case 1:
      simulation.PowerOff(router, Millis(InRange(0, 1'000)));
      break;
    case 2:
      simulation.Partition(router, *rc::gen::arbitrary<bool>());
      break;
    case 3:
      simulation.Isolate(router, InRange(0, 3) == 0);
      break;
    case 4:
      simulation.Mute(router, InRange(0, 2) == 0);
      break;
    case 5:
      simulation.faults().unavailable = InRange(0, 3) == 0;
      break;
    case 6:
      simulation.faults().lost_answer_percent =
          static_cast<int>(InRange(0, 40));
      simulation.faults().late_write_percent = static_cast<int>(InRange(0, 40));
      break;
    default:
      simulation.JumpClock(0, Millis(InRange(-9'000, 9'000)));
      break;
  }
}

void RunSchedule(bool forgets_loans, bool& was_scarce) {
  MeteredSimulation simulation(*rc::gen::arbitrary<uint64_t>(), kRouters,
                               kLimit);
  simulation.Connect(static_cast<int>(InRange(0, 30)));
  if (forgets_loans) {
    simulation.ForgetLoans();
  }
  simulation.Advance(Millis(300));
  const int64_t steps = InRange(20, 80);
  for (int64_t i = 0; i < steps; ++i) {
    RequestAll(simulation);
    if (InRange(0, 4) == 0) {
      Disturb(simulation);
    }
    simulation.Advance(Millis(InRange(5, 150)));
    was_scarce = was_scarce || simulation.IsScarceAnywhere();
    RC_ASSERT(simulation.Used() <= simulation.highest_limit());
    RC_ASSERT(simulation.falsely_exhausted() == 0);
  }
}

}  // namespace

TEST_GROUP(ScarceSchedule){};

TEST(ScarceSchedule, NeverSpendsAboveTheLimit) {
  int64_t schedules = 0;
  int64_t scarce_schedules = 0;
  CHECK(rc::check([&] {
    bool was_scarce = false;
    RunSchedule(false, was_scarce);
    ++schedules;
    scarce_schedules += was_scarce ? 1 : 0;
  }));
  // Otherwise, the schedules don't show what they should.
  CHECK(scarce_schedules * 2 >= schedules);
}

TEST(ScarceSchedule, DetectsALenderThatForgetsLoans) {
  CHECK(godwit::support::IsFalsified([] {
    bool was_scarce = false;
    RunSchedule(true, was_scarce);
  }));
}
