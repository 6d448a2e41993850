#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "ledger_world.h"
#include "support/planted.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::LedgerWorld;
using Planted = LedgerWorld::Planted;

constexpr Tokens kLimit = 1000;
constexpr size_t kRouters = 3;

// The naive version: one counter behind one lock, no failures.
class NaiveBudget {
 public:
  bool MaySpend(Tokens amount) const { return amount <= kLimit - billed_; }
  void SetBilled(Tokens billed) { billed_ = billed; }
  Tokens billed() const { return billed_; }

 private:
  Tokens billed_ = 0;
};

// Sends one request and waits until its answer and its bill are known.
bool IsGranted(LedgerWorld& world, size_t router, Tokens amount) {
  const size_t granted = world.granted();
  world.Request(router, amount);
  do {
    world.Advance(Millis(100));
  } while (world.Unanswered() != 0);
  // The longest run and the latest message.
  world.Advance(Millis(7500));
  return world.granted() > granted;
}

void SameAsNaive(Planted planted) {
  LedgerWorld world(*rc::gen::arbitrary<uint64_t>(), planted);
  NaiveBudget naive;
  world.StartAgent();
  for (size_t i = 0; i < kRouters; ++i) {
    world.StartRouter();
  }
  world.TopUp("first", kLimit);
  const auto requests =
      *rc::gen::container<std::vector<std::pair<size_t, Tokens>>>(
          rc::gen::pair(rc::gen::inRange<size_t>(0, kRouters),
                        rc::gen::inRange<Tokens>(0, 600)));
  for (const auto& [router, amount] : requests) {
    RC_ASSERT(IsGranted(world, router, amount) == naive.MaySpend(amount));
    naive.SetBilled(world.Ended());
  }
  RC_ASSERT(world.Finish());
  RC_ASSERT(world.StoredBudget().billed == naive.billed());
}

}  // namespace

TEST_GROUP(Differential){};

TEST(Differential, GrantsWhatTheNaiveVersionGrants) {
  CHECK(rc::check("same as naive", [] { SameAsNaive(Planted::kNone); }));
}

TEST(Differential, PlantedFaultIsCaught) {
  CHECK(godwit::support::IsFalsified(
      [] { SameAsNaive(Planted::kRouterDropsBills); }));
}
