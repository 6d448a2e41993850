#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "leaving_world.h"

#include <CppUTest/TestHarness.h>

using godwit::membership::testing::Fault;
using godwit::membership::testing::LeavingWorld;

namespace {

// The proof asks the world only; no model is needed to generate commands.
struct Model {};
using WorldCommand = rc::state::Command<Model, LeavingWorld>;

struct Operation {
  const char* name;
  void (*run)(LeavingWorld& world, int router, int agent, int amount);
};

constexpr int kMaxAmount = 40;

const std::vector<Operation>& Operations() {
  static const std::vector<Operation> operations = {
      {"advance", [](LeavingWorld& world, int, int,
                     int amount) { world.Advance(100 * (1 + amount)); }},
      {"begin leaving",
       [](LeavingWorld& world, int, int agent, int amount) {
         world.BeginLeaving(agent, amount % 2 == 0);
       }},
      {"restart",
       [](LeavingWorld& world, int, int agent, int) { world.Restart(agent); }},
      {"cut", [](LeavingWorld& world, int router, int agent,
                 int) { world.Cut(router, agent); }},
      {"heal", [](LeavingWorld& world, int router, int agent,
                  int) { world.Heal(router, agent); }},
      {"reconnect", [](LeavingWorld& world, int router, int agent,
                       int) { world.Reconnect(router, agent); }},
      {"read the VM list", [](LeavingWorld& world, int router, int,
                              int) { world.ReadVmList(router); }},
      {"read the record",
       [](LeavingWorld& world, int router, int, int amount) {
         world.ReadRecord(router, amount % 3);
       }},
  };
  return operations;
}

class Step : public WorldCommand {
 public:
  Step()
      : operation_(*rc::gen::weightedElement<size_t>(
            {{8, 0}, {3, 1}, {1, 2}, {3, 3}, {2, 4}, {2, 5}, {1, 6}, {1, 7}})),
        router_(*rc::gen::inRange(0, LeavingWorld::kRouters)),
        agent_(*rc::gen::inRange(0, LeavingWorld::kAgents)),
        amount_(*rc::gen::inRange(0, kMaxAmount)) {}

  void run(const Model& /*model*/, LeavingWorld& world) const override {
    Operations()[operation_].run(world, router_, agent_, amount_);
    if (!world.violation().empty()) {
      RC_FAIL(world.violation());
    }
  }

  void show(std::ostream& out) const override {
    out << Operations()[operation_].name << " router=" << router_
        << " agent=" << agent_ << " amount=" << amount_;
  }

 private:
  size_t operation_;
  int router_;
  int agent_;
  int amount_;
};

bool Holds(Fault fault) {
  return rc::check("a leaving agent gets no new work after 3 s", [fault] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const Model model;
    LeavingWorld world(fault, seed);
    rc::state::check(model, world, rc::state::gen::execOneOfWithArgs<Step>());
  });
}

}  // namespace

TEST_GROUP(LeavingProof){};

TEST(LeavingProof, HoldsUnderEverySchedule) {
  CHECK(Holds(Fault::kNone));
}

TEST(LeavingProof, FindsEachPlantedFault) {
  const std::vector<Fault> faults = {
      Fault::kLinksIgnored, Fault::kHeartbeatsIgnored, Fault::kSilenceIgnored,
      Fault::kStaleCandidates};
  for (Fault fault : faults) {
    CHECK_FALSE(Holds(fault));
  }
}
