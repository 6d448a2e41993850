#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>

#include "config_sync_simulation.h"
#include "injected_fault.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::config::ConfigSyncSimulation;
using godwit::config::InjectedFault;
using godwit::config::kInjectedFaults;

namespace {

constexpr unsigned kActionKinds = 11;
constexpr uint64_t kMaxSchedules = 2000;
constexpr int kGeneratorSize = 60;

// One action of a schedule. Each number is used modulo the size of its range.
struct Action {
  unsigned kind = 0;
  unsigned a = 0;
  unsigned b = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << "{" << action.kind << "," << action.a << "," << action.b << "}";
}

void Run(ConfigSyncSimulation& simulation, const Action& action) {
  switch (action.kind % kActionKinds) {
    case 0:
    case 1:
      simulation.Advance(Millis(100 * (1 + action.a % 50)));
      break;
    case 2:
    case 3:
      simulation.StartApply(action.a, action.b % 10 != 9);
      break;
    case 4:
      simulation.ToggleOutage();
      break;
    case 5:
      simulation.ToggleLostAnswers();
      break;
    case 6:
      simulation.ToggleMessageFaults();
      break;
    case 7:
      simulation.ToggleLink(action.a, action.b);
      break;
    case 8:
      simulation.ToggleKvConnection(action.a);
      break;
    case 9:
      simulation.TogglePause(action.a);
      break;
    default:
      simulation.Restart(action.a);
      break;
  }
}

struct Totals {
  int64_t schedules = 0;
  int64_t accepted = 0;
  int64_t activated = 0;
};

// Runs a schedule and returns the first violation that the oracle found; empty
// for none.
std::string RunSchedule(uint64_t seed,
                        const std::vector<Action>& actions,
                        InjectedFault fault,
                        Totals& totals) {
  ConfigSyncSimulation simulation(seed, fault);
  for (const Action& action : actions) {
    Run(simulation, action);
  }
  simulation.RecoverAndCheck();
  ++totals.schedules;
  totals.accepted += simulation.accepted();
  totals.activated += simulation.activated();
  return simulation.violation();
}

InjectedFault FaultFromEnvironment() {
  const char* name = std::getenv("GODWIT_PLANTED_FAULT");
  for (const auto& injected : kInjectedFaults) {
    if (name != nullptr && injected.name == name) {
      return injected.fault;
    }
  }
  return InjectedFault::kNone;
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

TEST_GROUP(ConfigSyncFuzz){};

// GODWIT_PLANTED_FAULT=NAME injects a fault, so that the test must fail;
// RC_PARAMS="seed=S max_success=N" sets the seed and the number of schedules.
TEST(ConfigSyncFuzz, AcceptedConfigReachesEveryProcessAndNeverReverts) {
  Totals totals;
  const InjectedFault fault = FaultFromEnvironment();
  const bool holds = rc::check(
      "an accepted configuration reaches every process and never reverts",
      [&](uint64_t seed, const std::vector<Action>& actions) {
        const std::string first_violation =
            RunSchedule(seed, actions, fault, totals);
        if (!first_violation.empty()) {
          RC_FAIL(first_violation);
        }
      });
  std::cout << "schedules " << totals.schedules << ", applies accepted "
            << totals.accepted << ", configurations adopted "
            << totals.activated << "\n";
  CHECK(holds);
  CHECK(totals.accepted > totals.schedules);
}

TEST(ConfigSyncFuzz, EachInjectedFaultIsDetected) {
  for (const auto& injected : kInjectedFaults) {
    Totals totals;
    std::string first_violation;
    uint64_t seed = 0;
    while (first_violation.empty() && seed < kMaxSchedules) {
      ++seed;
      const auto actions = rc::gen::arbitrary<std::vector<Action>>()(
                               rc::Random(seed), kGeneratorSize)
                               .value();
      first_violation = RunSchedule(seed, actions, injected.fault, totals);
    }
    std::cout << injected.name << ": schedule " << seed << ": "
              << first_violation << "\n";
    CHECK_TEXT(!first_violation.empty(), std::string(injected.name).c_str());
  }
}
