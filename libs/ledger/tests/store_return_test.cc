// Plays a KV that returns from an older copy at routers that lend.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

#include <rapidcheck.h>

#include "even_load.h"
#include "ledger/metered_policy.h"
#include "metered_simulation.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::EvenLoad;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;

namespace {

constexpr Tokens kLimit = 40'000;
constexpr size_t kRouters = 4;
constexpr int kMaxAgeMs = 6'000;

struct Schedule {
  // Routers are killed, and partitioned from the KV.
  bool kills = false;
  bool partitions = false;
  // Routers are stopped in order.
  bool stops = false;
  // Injected fault: the routers do not learn of eras.
  bool hides_eras = false;
};

// A number from the whole range, also in the first, small test cases.
template <typename Number>
Number InRange(Number min, Number end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(min, end));
}

void Return(MeteredSimulation& simulation) {
  const Millis away(InRange(0, 1'500));
  simulation.faults().unavailable = away > Millis(0);
  simulation.Advance(away);
  simulation.ReturnFromCopy(Millis(InRange(1, kMaxAgeMs)));
  simulation.faults().unavailable = false;
}

// Runs a random schedule of requests with returns of the KV, also twice in a
// row. Fails if more is used than the limit, or if a request is refused as
// exhausted although the budget covers it.
void RunSchedule(const Schedule& schedule) {
  MeteredSimulation simulation(*rc::gen::arbitrary<uint64_t>(), kRouters,
                               kLimit);
  simulation.BeginEras();
  if (schedule.hides_eras) {
    simulation.HideEras();
  }
  simulation.Connect(InRange(0, 20));
  simulation.Advance(Millis(500));
  const int steps = InRange(20, 120);
  for (int i = 0; i < steps; ++i) {
    const auto router = InRange<size_t>(0, kRouters);
    switch (InRange(0, schedule.stops ? 15 : 14)) {
      case 0:
        Return(simulation);
        break;
      case 1:
        Return(simulation);
        simulation.Advance(Millis(InRange(0, 300)));
        Return(simulation);
        break;
      case 2:
        if (schedule.kills) {
          simulation.Restart(router, *rc::gen::arbitrary<bool>());
        }
        break;
      case 3:
        if (schedule.partitions) {
          simulation.Partition(router, *rc::gen::arbitrary<bool>());
        }
        break;
      case 4:
        simulation.faults().late_write_percent = InRange(0, 30);
        simulation.faults().lost_answer_percent = InRange(0, 30);
        break;
      case 14:
        simulation.Drain(router);
        simulation.Advance(Millis(InRange(0, 1'000)));
        simulation.Restart(router, *rc::gen::arbitrary<bool>());
        break;
      default:
        for (int n = 0; n < 8; ++n) {
          simulation.Request(InRange<size_t>(0, kRouters),
                             InRange<Tokens>(1, kLimit / 100), InRange(0, 3));
          simulation.Advance(Millis(InRange(1, 150)));
          simulation.Finish(router, InRange(10, 101));
        }
        break;
    }
  }
  RC_ASSERT(simulation.Used() <= simulation.highest_limit());
  RC_ASSERT(simulation.falsely_exhausted() == 0);
}

constexpr Millis kAge(4'000);

void RestartAll(MeteredSimulation& simulation) {
  for (size_t router = 0; router < kRouters; ++router) {
    simulation.Restart(router);
  }
}

}  // namespace

TEST_GROUP(StoreReturn){};

TEST(StoreReturn, CostsLittleAndSpendsNothingTwice) {
  struct Case {
    const char* name;
    // What happens after some seconds of load.
    int load_seconds;
    std::function<void(MeteredSimulation&)> happen;
    // Seconds of use that may be spent twice, or refused although not spent.
    double max_twice;
    double max_lost;
    // Whether the holdings last until the ledger is complete again.
    bool serves_throughout;
  };
  const double age_s = static_cast<double>(kAge.count()) / 1000;
  const std::vector<Case> cases = {
      {"a return", 10,
       [](MeteredSimulation& simulation) { simulation.ReturnFromCopy(kAge); },
       0, 0.1, true},
      {"away before", 10,
       [](MeteredSimulation& simulation) {
         simulation.faults().unavailable = true;
         EvenLoad::RunFor(simulation, 2);
         simulation.ReturnFromCopy(kAge);
         simulation.faults().unavailable = false;
       },
       0, 0.1, true},
      {"twice in a row", 10,
       [](MeteredSimulation& simulation) {
         simulation.ReturnFromCopy(kAge);
         EvenLoad::RunFor(simulation, 1);
         simulation.ReturnFromCopy(kAge);
       },
       0, 0.1, true},
      {"with writes that take effect late", 10,
       [](MeteredSimulation& simulation) {
         simulation.faults().late_write_percent = 30;
         EvenLoad::RunFor(simulation, 2);
         simulation.ReturnFromCopy(kAge);
         EvenLoad::RunFor(simulation, 5);
         simulation.faults().late_write_percent = 0;
       },
       0, 0.1, true},
      {"a borrower is cut off for longer than its peers wait", 10,
       [](MeteredSimulation& simulation) {
         const size_t other = EvenLoad::LenderOf(simulation) == 0 ? 1 : 0;
         simulation.Partition(other, true);
         simulation.ReturnFromCopy(kAge);
         EvenLoad::RunFor(simulation, 17);
         simulation.Partition(other, false);
       },
       0, 0.1, false},
      // The borrowers remember what it had drawn.
      {"the lender is killed just before", 10,
       [](MeteredSimulation& simulation) {
         simulation.Restart(EvenLoad::LenderOf(simulation));
         simulation.ReturnFromCopy(kAge);
       },
       0, age_s + 11, false},
      {"the lender is killed just after", 10,
       [](MeteredSimulation& simulation) {
         simulation.ReturnFromCopy(kAge);
         simulation.Restart(EvenLoad::LenderOf(simulation));
       },
       0, age_s + 11, false},
      // What was drawn for a surge is among what is lost.
      {"the lender is killed just after a surge", 3,
       [](MeteredSimulation& simulation) {
         constexpr int k_surge = 5;
         EvenLoad::RunFor(simulation, 3, k_surge);
         const size_t lender = EvenLoad::LenderOf(simulation);
         simulation.ReturnFromCopy(kAge);
         simulation.Restart(lender);
       },
       0, 5 * (age_s + 11), false},
      // Nobody remembers what was drawn in the lost time.
      {"all are killed just after", 10,
       [](MeteredSimulation& simulation) {
         simulation.ReturnFromCopy(kAge);
         RestartAll(simulation);
       },
       age_s, age_s + 11, false},
  };
  for (const Case& c : cases) {
    MeteredSimulation simulation(1, kRouters, EvenLoad::kLimit,
                                 MeteredPolicy().outage_cover);
    simulation.BeginEras();
    simulation.Connect();
    simulation.Advance(Millis(1000));
    EvenLoad::RunFor(simulation, c.load_seconds);
    const int64_t refused_before = simulation.refused();
    c.happen(simulation);
    EvenLoad::RunFor(simulation, 20);
    CHECK_EQUAL_TEXT(c.serves_throughout,
                     simulation.refused() == refused_before, c.name);
    EvenLoad::RunFor(simulation, 60);
    const double left = EvenLoad::SecondsLeft(simulation);
    CHECK_COMPARE_TEXT(-left, <=, c.max_twice, c.name);
    CHECK_COMPARE_TEXT(left, <=, c.max_lost, c.name);
  }
}

// Guards against tokens that are spent twice because only the killed router
// knew of its draws: it had lent none of them.
TEST(StoreReturn, DrawsOfAKilledLenderThatLendsNothingCount) {
  struct Case {
    const char* name;
    bool is_killed_first;
  };
  const std::vector<Case> cases = {{"killed before the return", true},
                                   {"killed after the return", false}};
  for (const Case& c : cases) {
    MeteredSimulation simulation(1, EvenLoad::kRouters, EvenLoad::kLimit,
                                 MeteredPolicy().outage_cover);
    simulation.BeginEras();
    simulation.Connect();
    simulation.Advance(Millis(6'000));
    const size_t lender = EvenLoad::LenderOf(simulation);
    for (int i = 0; i < 30; ++i) {
      simulation.Request(lender, EvenLoad::kUsePerSecond / 2);
      simulation.Advance(Millis(100));
      simulation.Finish(lender, 100);
    }
    if (c.is_killed_first) {
      simulation.Kill(lender, Millis(700));
    }
    simulation.ReturnFromCopy(kAge);
    simulation.Kill(lender, Millis(700));
    EvenLoad::RunFor(simulation, 80);
    CHECK_COMPARE_TEXT(EvenLoad::SecondsLeft(simulation), >=, 0, c.name);
    CHECK_EQUAL_TEXT(0, simulation.falsely_exhausted(), c.name);
  }
}

TEST(StoreReturn, NeverSpendsAboveTheLimit) {
  CHECK(rc::check([] { RunSchedule({}); }));
}

TEST(StoreReturn, NeverSpendsAboveTheLimitWhenRoutersAreCutOff) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.partitions = true;
    RunSchedule(schedule);
  }));
}

TEST(StoreReturn, NeitherSpendsTwiceNorRefusesWhenRoutersAreStopped) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.stops = true;
    RunSchedule(schedule);
  }));
}

TEST(StoreReturn, NeitherSpendsTwiceNorRefusesWhenRoutersAreStoppedAndCutOff) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.stops = true;
    schedule.kills = true;
    schedule.partitions = true;
    RunSchedule(schedule);
  }));
}

TEST(StoreReturn, NeverSpendsAboveTheLimitWhenRoutersAreKilled) {
  CHECK(rc::check([] {
    Schedule schedule;
    schedule.kills = true;
    schedule.partitions = true;
    RunSchedule(schedule);
  }));
}

TEST(StoreReturn, DetectsRoutersThatDoNotLearnOfEras) {
  CHECK(godwit::support::IsFalsified([] {
    Schedule schedule;
    schedule.kills = true;
    schedule.hides_eras = true;
    RunSchedule(schedule);
  }));
}
