// Replays a fleet that uses up a budget, and counts the operations on the KV.
#include <cstdint>
#include <random>
#include <string>

#include "ledger/metered_budget_manager.h"
#include "metered_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;

namespace {

constexpr size_t kRouters = 12;
// Lasts for 50 seconds.
constexpr Tokens kLimit = 10'000'000;
constexpr Tokens kUsePerSecond = kLimit / 50;
constexpr Tokens kLargestRequest = 8'000;
constexpr int kRoundsPerSecond = 20;
// KV operations of the replay if each request draws for itself.
constexpr int64_t kOperationsWithoutDrawingAhead = 728;

// Requests of mixed sizes arrive in clumps at all routers.
void LoadFor(MeteredSimulation& simulation, int seconds) {
  static std::mt19937 random(3);
  for (int i = 0; i < seconds * kRoundsPerSecond; ++i) {
    Tokens left =
        kUsePerSecond / kRoundsPerSecond * static_cast<Tokens>(random() % 3);
    while (left > 0) {
      const Tokens amount = 1 + static_cast<Tokens>(random()) % kLargestRequest;
      simulation.Request(random() % kRouters, amount);
      left -= amount;
    }
    simulation.Advance(Millis(1000 / kRoundsPerSecond));
    for (size_t router = 0; router < kRouters; ++router) {
      for (int n = 0; n < 6; ++n) {
        simulation.Finish(router, 85);
      }
    }
  }
}

int64_t OperationsIn(MeteredSimulation& simulation, int seconds) {
  const int64_t before = simulation.kv_operations();
  LoadFor(simulation, seconds);
  return simulation.kv_operations() - before;
}

}  // namespace

TEST_GROUP(Scarcity){};

TEST(Scarcity, TakesAThirdOfTheOperations) {
  MeteredSimulation simulation(1, kRouters, kLimit,
                               MeteredPolicy().outage_cover);
  simulation.Connect();
  simulation.Advance(Millis(1000));
  LoadFor(simulation, 30);
  CHECK_EQUAL(0, simulation.refused());
  // The budget ends after about 20 of these seconds.
  const int64_t operations = OperationsIn(simulation, 50);
  CHECK_TEXT(operations <= kOperationsWithoutDrawingAhead / 3,
             std::to_string(operations).c_str());
  CHECK_TEXT(simulation.Used() >= kLimit - kLargestRequest * 2,
             std::to_string(simulation.Used()).c_str());
}

TEST(Scarcity, ARequestThatEndedNeedsNothing) {
  MeteredSimulation simulation(1, kRouters, kLimit,
                               MeteredPolicy().outage_cover);
  simulation.Connect();
  simulation.Advance(Millis(1000));
  LoadFor(simulation, 80);
  // Nobody waits any more. Each router that holds tokens reads the ledger once
  // in `recall_poll_interval`.
  simulation.Advance(Millis(2000));
  const int64_t before = simulation.kv_operations();
  simulation.Advance(Millis(12'000));
  const int64_t operations = simulation.kv_operations() - before;
  CHECK_TEXT(operations <= 2 * static_cast<int64_t>(kRouters),
             std::to_string(operations).c_str());
}
