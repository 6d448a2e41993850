// The stored number of ledger keys, among which the budgets are divided.
#include <string>

#include "metered_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::MeteredSimulation;

TEST_GROUP(LedgerLayout){};

TEST(LedgerLayout, AnotherNumberOfKeysSpendsNothing) {
  // A version that divides the ledger among another number of keys does not see
  // what was spent.
  MeteredSimulation simulation(1, 1, 10'000);
  for (int i = 0; i < 18; ++i) {
    simulation.Request(0, 500);
    simulation.Advance(Millis(50));
    simulation.Finish(0, 100);
  }
  const Tokens used = simulation.Used();
  CHECK(used >= 8'000);
  simulation.SetKeys(3);
  simulation.Restart(0);
  for (int i = 0; i < 18; ++i) {
    simulation.Request(0, 500);
    simulation.Advance(Millis(50));
    simulation.Finish(0, 100);
  }
  CHECK_EQUAL(used, simulation.Used());
}

TEST(LedgerLayout, RetriesTheLayoutWriteAfterItWasLost) {
  MeteredSimulation simulation(1, 1, 10'000);
  simulation.faults().lost_write_percent = 100;
  simulation.Advance(Millis(500));
  simulation.faults().lost_write_percent = 0;
  simulation.Advance(Millis(1500));
  const int64_t operations = simulation.kv_operations();
  CHECK_TEXT(operations < 100, std::to_string(operations).c_str());
  simulation.Request(0, 100);
  simulation.Advance(Millis(300));
  CHECK_EQUAL(1, simulation.served());
}
