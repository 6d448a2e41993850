// Replays partitions and outages of the KV, and checks what routers hold and
// how often they try the KV.
#include <cstdint>
#include <string>

#include "ledger/metered_budget_manager.h"
#include "metered_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;

namespace {

constexpr size_t kRouters = 4;
constexpr Tokens kLimit = 10'000'000;
constexpr Tokens kAmount = 5'000;

// Each of the first `routers` uses 5,000 tokens every 100 ms.
void LoadFor(MeteredSimulation& simulation, int seconds, size_t routers) {
  for (int i = 0; i < seconds * 10; ++i) {
    for (size_t router = 0; router < routers; ++router) {
      simulation.Request(router, kAmount);
    }
    simulation.Advance(Millis(100));
    for (size_t router = 0; router < routers; ++router) {
      simulation.Finish(router, 100);
    }
  }
}

size_t LargestHolder(const MeteredSimulation& simulation) {
  size_t largest = 0;
  for (size_t router = 1; router < kRouters; ++router) {
    largest =
        simulation.Held(router) > simulation.Held(largest) ? router : largest;
  }
  return largest;
}

}  // namespace

TEST_GROUP(KvOutage){};

TEST(KvOutage, ASubstituteReturnsItsHoldingOnceTheLenderIsBack) {
  MeteredSimulation simulation(1, kRouters, kLimit,
                               MeteredPolicy().outage_cover);
  simulation.Connect();
  simulation.Advance(Millis(1000));
  LoadFor(simulation, 5, kRouters);
  const size_t lender = LargestHolder(simulation);
  simulation.Isolate(lender, true);
  simulation.Partition(lender, true);
  LoadFor(simulation, 4, kRouters);
  Tokens held_by_substitutes = 0;
  for (size_t router = 0; router < kRouters; ++router) {
    held_by_substitutes += router == lender ? 0 : simulation.Held(router);
  }
  CHECK(held_by_substitutes >= kAmount * 10);
  simulation.Isolate(lender, false);
  simulation.Partition(lender, false);
  LoadFor(simulation, 6, kRouters);
  for (size_t router = 0; router < kRouters; ++router) {
    if (router != lender) {
      CHECK_TEXT(simulation.Held(router) <= kAmount,
                 std::to_string(simulation.Held(router)).c_str());
    }
  }
}

TEST(KvOutage, BacksOffWhileTheKvRejects) {
  MeteredSimulation simulation(1, 1, kLimit, MeteredPolicy().outage_cover);
  simulation.Advance(Millis(1000));
  LoadFor(simulation, 3, 1);
  simulation.faults().rejects = true;
  const int64_t before = simulation.kv_operations();
  constexpr int64_t k_seconds = 9;
  LoadFor(simulation, k_seconds, 1);
  const int64_t operations = simulation.kv_operations() - before;
  // One key of the ledger and the promise are tried; the first pauses are
  // shorter.
  const int64_t pause_ms = MeteredPolicy().max_failure_backoff.count();
  const int64_t at_most = 2 * (k_seconds * 1000 / pause_ms + 3);
  CHECK_TEXT(operations <= at_most, std::to_string(operations).c_str());
  simulation.faults().rejects = false;
  const int64_t served = simulation.served();
  LoadFor(simulation, 2, 1);
  CHECK_EQUAL(served + 2 * 10, simulation.served());
}
