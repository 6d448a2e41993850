#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

#include "planted_fault.h"
#include "spread_world.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::config::kPlantedFaults;
using godwit::config::PlantedFault;
using godwit::config::SpreadWorld;

namespace {

constexpr unsigned kKinds = 11;
constexpr uint64_t kMaxSchedules = 2000;
constexpr int kSize = 60;

// One action of a schedule. Numbers are taken modulo their range.
struct Action {
  unsigned kind = 0;
  unsigned a = 0;
  unsigned b = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << "{" << action.kind << "," << action.a << "," << action.b << "}";
}

void Run(SpreadWorld& world, const Action& action) {
  switch (action.kind % kKinds) {
    case 0:
    case 1:
      world.Advance(Millis(100 * (1 + action.a % 50)));
      break;
    case 2:
    case 3:
      world.StartApply(action.a, action.b % 10 != 9);
      break;
    case 4:
      world.ToggleOutage();
      break;
    case 5:
      world.ToggleLostAnswers();
      break;
    case 6:
      world.ToggleChaos();
      break;
    case 7:
      world.ToggleLink(action.a, action.b);
      break;
    case 8:
      world.ToggleKvCut(action.a);
      break;
    case 9:
      world.TogglePause(action.a);
      break;
    default:
      world.Restart(action.a);
      break;
  }
}

struct Totals {
  int64_t schedules = 0;
  int64_t accepted = 0;
  int64_t adopted = 0;
};

// Empty when the oracle found nothing.
std::string RunSchedule(uint64_t seed,
                        const std::vector<Action>& actions,
                        PlantedFault fault,
                        Totals& totals) {
  SpreadWorld world(seed, fault);
  for (const Action& action : actions) {
    Run(world, action);
  }
  world.HealAndCheck();
  ++totals.schedules;
  totals.accepted += world.accepted();
  totals.adopted += world.adopted();
  return world.violation();
}

PlantedFault SelectedFault() {
  const char* name = std::getenv("GODWIT_PLANTED_FAULT");
  for (const auto& planted : kPlantedFaults) {
    if (name != nullptr && planted.name == name) {
      return planted.fault;
    }
  }
  return PlantedFault::kNone;
}

rc::Gen<Action> AnyAction() {
  return rc::gen::build<Action>(
      rc::gen::set(&Action::kind, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Action::a, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Action::b, rc::gen::inRange(0U, 1000U)));
}

}  // namespace

namespace rc {

template <>
struct Arbitrary<Action> {
  static Gen<Action> arbitrary() { return AnyAction(); }
};

}  // namespace rc

TEST_GROUP(SpreadFuzz){};

// GODWIT_PLANTED_FAULT=NAME plants a fault, so that the proof must fail;
// RC_PARAMS="seed=S max_success=N" sets the seed and the number of schedules.
TEST(SpreadFuzz, AcceptedIsInForceEverywhereAndNeverReverts) {
  Totals totals;
  const PlantedFault fault = SelectedFault();
  const bool holds = rc::check(
      "accepted is in force everywhere and never reverts",
      [&](uint64_t seed, const std::vector<Action>& actions) {
        const std::string found = RunSchedule(seed, actions, fault, totals);
        if (!found.empty()) {
          RC_FAIL(found);
        }
      });
  std::cout << "schedules " << totals.schedules << ", applies accepted "
            << totals.accepted << ", configurations adopted " << totals.adopted
            << "\n";
  CHECK(holds);
  CHECK(totals.accepted > totals.schedules);
}

TEST(SpreadFuzz, EachPlantedFaultIsCaught) {
  for (const auto& planted : kPlantedFaults) {
    Totals totals;
    std::string found;
    uint64_t seed = 0;
    while (found.empty() && seed < kMaxSchedules) {
      ++seed;
      const auto actions =
          rc::gen::arbitrary<std::vector<Action>>()(rc::Random(seed), kSize)
              .value();
      found = RunSchedule(seed, actions, planted.fault, totals);
    }
    std::cout << planted.name << ": schedule " << seed << ": " << found << "\n";
    CHECK_TEXT(!found.empty(), std::string(planted.name).c_str());
  }
}
