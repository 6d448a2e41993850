#ifndef LEDGER_TESTS_EVEN_LOAD_H_
#define LEDGER_TESTS_EVEN_LOAD_H_

#include <cstddef>

#include "base/ids.h"
#include "base/millis.h"
#include "metered_simulation.h"

namespace godwit::ledger {

// Even load on a budget that lasts for 50 seconds.
struct EvenLoad {
  static constexpr size_t kRouters = 4;
  static constexpr base::Tokens kLimit = 10'000'000;
  static constexpr base::Tokens kUsePerSecond = kLimit / 50;

  // Lets all routers use the budget, at `factor` times the usual rate.
  static void RunFor(MeteredSimulation& simulation,
                     int seconds,
                     int factor = 1) {
    constexpr int k_rounds = 10;
    const base::Tokens amount =
        factor * kUsePerSecond / k_rounds / static_cast<base::Tokens>(kRouters);
    for (int i = 0; i < seconds * k_rounds; ++i) {
      for (size_t router = 0; router < kRouters; ++router) {
        simulation.Request(router, amount);
      }
      simulation.Advance(base::Millis(1000 / k_rounds));
      for (size_t router = 0; router < kRouters; ++router) {
        simulation.Finish(router, 100);
      }
    }
  }

  // Returns the seconds of use that are left; negative if more than the limit
  // was used.
  static double SecondsLeft(const MeteredSimulation& simulation) {
    return static_cast<double>(kLimit - simulation.Used()) /
           static_cast<double>(kUsePerSecond);
  }

  // Returns the router for which the ledger sets most aside: it lends to the
  // others.
  static size_t LenderOf(const MeteredSimulation& simulation) {
    size_t lender = 0;
    for (size_t router = 1; router < kRouters; ++router) {
      if (simulation.Held(router) > simulation.Held(lender)) {
        lender = router;
      }
    }
    return lender;
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_EVEN_LOAD_H_
