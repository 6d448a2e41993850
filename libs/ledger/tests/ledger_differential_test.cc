#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "ledger_simulation.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::LedgerSimulation;
using InjectedFault = LedgerSimulation::InjectedFault;

constexpr Tokens kLimit = 1000;
constexpr size_t kRouters = 3;

// Reference implementation: a single counter without concurrency or failures.
class ReferenceBudget {
 public:
  bool MaySpend(Tokens amount) const { return amount <= kLimit - billed_; }
  void SetBilled(Tokens billed) { billed_ = billed; }
  Tokens billed() const { return billed_; }

 private:
  Tokens billed_ = 0;
};

// Sends one request and advances the simulation until its answer and its bill
// are known.
bool IsGranted(LedgerSimulation& simulation, size_t router, Tokens amount) {
  const size_t granted = simulation.granted();
  simulation.Request(router, amount);
  do {
    simulation.Advance(Millis(100));
  } while (simulation.Unanswered() != 0);
  // Covers the longest run and the largest message delay.
  simulation.Advance(Millis(7500));
  return simulation.granted() > granted;
}

void MatchesReference(InjectedFault injected) {
  LedgerSimulation simulation(*rc::gen::arbitrary<uint64_t>(), injected);
  ReferenceBudget reference;
  simulation.StartAgent();
  for (size_t i = 0; i < kRouters; ++i) {
    simulation.StartRouter();
  }
  simulation.TopUp("first", kLimit);
  const auto requests =
      *rc::gen::container<std::vector<std::pair<size_t, Tokens>>>(
          rc::gen::pair(rc::gen::inRange<size_t>(0, kRouters),
                        rc::gen::inRange<Tokens>(0, 600)));
  for (const auto& [router, amount] : requests) {
    RC_ASSERT(IsGranted(simulation, router, amount) ==
              reference.MaySpend(amount));
    reference.SetBilled(simulation.Ended());
  }
  RC_ASSERT(simulation.Finish());
  RC_ASSERT(simulation.StoredBudget().billed == reference.billed());
}

}  // namespace

TEST_GROUP(Differential){};

TEST(Differential, GrantsTheSameAsTheReference) {
  CHECK(rc::check("same as reference",
                  [] { MatchesReference(InjectedFault::kNone); }));
}

TEST(Differential, DetectsTheInjectedFault) {
  CHECK(godwit::support::IsFalsified(
      [] { MatchesReference(InjectedFault::kRouterDropsBills); }));
}
