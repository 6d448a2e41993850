// Plays routers that stop or crash around a return of the KV from a copy in
// which their grants are still open.
#include <functional>
#include <vector>

#include "even_load.h"
#include "ledger/metered_policy.h"
#include "metered_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::ledger::EvenLoad;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;

namespace {

constexpr Millis kAge(4'000);
constexpr Millis kMaxStop(1'000);
constexpr int kRestartMs = 200;
// Seconds of use that a lender holds, and that it can have drawn in kAge.
constexpr double kHolding = 11 + 4;

void Stop(MeteredSimulation& simulation, size_t router) {
  simulation.Drain(router);
  for (Millis waited; waited < kMaxStop && !simulation.IsDrained(router);
       waited = waited + Millis(10)) {
    simulation.Advance(Millis(10));
  }
  simulation.Kill(router, Millis(kRestartMs));
}

void Crash(MeteredSimulation& simulation, size_t router) {
  simulation.Kill(router, Millis(kRestartMs));
}

struct Course {
  // Set in one of the two plays of a case.
  bool returns = false;
  size_t lender = 0;

  void Return(MeteredSimulation& simulation) const {
    if (returns) {
      simulation.ReturnFromCopy(kAge);
    }
  }
};

struct Outcome {
  double seconds_left = 0;
  int64_t falsely_exhausted = 0;
};

using Happen = std::function<void(MeteredSimulation&, const Course&)>;

Outcome Play(const Happen& happen,
             bool returns,
             const MeteredPolicy& policy = MeteredPolicy()) {
  MeteredSimulation simulation(1, EvenLoad::kRouters, EvenLoad::kLimit, policy);
  simulation.BeginEras();
  simulation.Connect();
  simulation.Advance(Millis(1'000));
  EvenLoad::RunFor(simulation, 30);
  happen(simulation, {returns, EvenLoad::LenderOf(simulation)});
  EvenLoad::RunFor(simulation, 80);
  return {EvenLoad::SecondsLeft(simulation), simulation.falsely_exhausted()};
}

}  // namespace

TEST_GROUP(ClosedBeforeReturn){};

// Guards against usage of a closed grant that counts twice after a return of
// the KV, so that requests are refused although the budget covers them.
TEST(ClosedBeforeReturn, UsageOfClosedGrantsCountsOnce) {
  struct Case {
    const char* name;
    Happen happen;
    // Seconds of use that a return may cost.
    double max_lost = 0.1;
  };
  const std::vector<Case> cases = {
      {"a stop in the lost time",
       [](MeteredSimulation& simulation, const Course& course) {
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 2);
         course.Return(simulation);
       }},
      {"a crash in the lost time",
       [](MeteredSimulation& simulation, const Course& course) {
         Crash(simulation, course.lender);
         EvenLoad::RunFor(simulation, 2);
         course.Return(simulation);
       }},
      {"a stop whose grant is closed by nobody yet",
       [](MeteredSimulation& simulation, const Course& course) {
         Stop(simulation, course.lender);
         simulation.Advance(Millis(kRestartMs + 50));
         course.Return(simulation);
       }},
      {"two stops in the lost time",
       [](MeteredSimulation& simulation, const Course& course) {
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 1);
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 1);
         course.Return(simulation);
       }},
      {"all routers stop in turn in the lost time",
       [](MeteredSimulation& simulation, const Course& course) {
         for (size_t router = 0; router < EvenLoad::kRouters; ++router) {
           Stop(simulation, router);
           simulation.Advance(Millis(600));
         }
         course.Return(simulation);
       }},
      {"a second return",
       [](MeteredSimulation& simulation, const Course& course) {
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 2);
         course.Return(simulation);
         EvenLoad::RunFor(simulation, 1);
         course.Return(simulation);
       }},
      {"a second return after the first was merged",
       [](MeteredSimulation& simulation, const Course& course) {
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 2);
         course.Return(simulation);
         EvenLoad::RunFor(simulation, 3);
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 1);
         course.Return(simulation);
       }},
      {"a crash whose promise was read before the return",
       [](MeteredSimulation& simulation, const Course& course) {
         Crash(simulation, course.lender);
         simulation.Advance(Millis(kRestartMs + 10));
         course.Return(simulation);
       }},
      // Nothing bounds what the holder used. It is in doubt, and proves
      // nothing.
      {"a crash whose promise is lost",
       [](MeteredSimulation& simulation, const Course& course) {
         Crash(simulation, course.lender);
         course.Return(simulation);
       },
       kHolding},
      {"a crash while records are merged",
       [](MeteredSimulation& simulation, const Course& course) {
         course.Return(simulation);
         simulation.Advance(Millis(900));
         Crash(simulation, course.lender);
       }},
      {"a stop while records are merged",
       [](MeteredSimulation& simulation, const Course& course) {
         course.Return(simulation);
         simulation.Advance(Millis(300));
         Stop(simulation, course.lender);
       }},
      {"a router that knows the grant as open is cut off and merges late",
       [](MeteredSimulation& simulation, const Course& course) {
         const size_t other = course.lender == 0 ? 1 : 0;
         simulation.Partition(other, true);
         Stop(simulation, course.lender);
         EvenLoad::RunFor(simulation, 2);
         course.Return(simulation);
         EvenLoad::RunFor(simulation, 17);
         simulation.Partition(other, false);
       }},
  };
  for (const Case& c : cases) {
    const Outcome without = Play(c.happen, false);
    const Outcome with = Play(c.happen, true);
    CHECK_EQUAL_TEXT(0, with.falsely_exhausted, c.name);
    CHECK_COMPARE_TEXT(with.seconds_left, >=, 0, c.name);
    CHECK_COMPARE_TEXT(with.seconds_left, <=, without.seconds_left + c.max_lost,
                       c.name);
  }
}

// Guards against a grant that counts again since it is no longer apart in the
// record, and the promise of its holder is still known.
TEST(ClosedBeforeReturn, FoldedGrantsCountOnce) {
  MeteredPolicy policy;
  policy.retired_grant_retention = Millis(1'000);
  for (const bool stops : {true, false}) {
    const Happen happen = [stops](MeteredSimulation& simulation,
                                  const Course& course) {
      (stops ? Stop : Crash)(simulation, course.lender);
      EvenLoad::RunFor(simulation, 8);
      course.Return(simulation);
    };
    const Outcome without = Play(happen, false, policy);
    const Outcome with = Play(happen, true, policy);
    CHECK_EQUAL(0, with.falsely_exhausted);
    CHECK_COMPARE(with.seconds_left, >=, 0);
    CHECK_COMPARE(with.seconds_left, <=, without.seconds_left + 0.1);
  }
}

// Guards against a record that grows with each restart of a router.
TEST(ClosedBeforeReturn, OldGrantsAreFolded) {
  MeteredPolicy policy;
  policy.retired_grant_retention = Millis(5'000);
  MeteredSimulation simulation(1, EvenLoad::kRouters, EvenLoad::kLimit, policy);
  simulation.BeginEras();
  simulation.Connect();
  simulation.Advance(Millis(1'000));
  for (int i = 0; i < 20; ++i) {
    EvenLoad::RunFor(simulation, 1);
    Stop(simulation, static_cast<size_t>(i) % EvenLoad::kRouters);
  }
  EvenLoad::RunFor(simulation, 10);
  // An open and a folded grant of each router.
  CHECK_COMPARE(simulation.StoredGrants(), <=, 2 * EvenLoad::kRouters);
  EvenLoad::RunFor(simulation, 40);
  CHECK_EQUAL(0, simulation.falsely_exhausted());
  CHECK_COMPARE(EvenLoad::SecondsLeft(simulation), >=, 0);
}

// Guards against tokens that are spent twice because the copy lacks a grant
// whose holder has ended.
TEST(ClosedBeforeReturn, GrantsThatTheCopyLacksCount) {
  MeteredSimulation simulation(1, EvenLoad::kRouters, EvenLoad::kLimit,
                               MeteredPolicy().outage_cover);
  simulation.BeginEras();
  simulation.Connect();
  simulation.Advance(Millis(500));
  EvenLoad::RunFor(simulation, 3);
  for (size_t router = 0; router < EvenLoad::kRouters; ++router) {
    Crash(simulation, router);
  }
  simulation.Advance(Millis(kRestartMs + 5));
  simulation.ReturnFromCopy(kAge);
  EvenLoad::RunFor(simulation, 80);
  CHECK_COMPARE(EvenLoad::SecondsLeft(simulation), >=, 0);
  CHECK_EQUAL(0, simulation.falsely_exhausted());
}
