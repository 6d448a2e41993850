#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "leaving_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::membership::testing::InjectedFault;
using godwit::membership::testing::LeavingSimulation;

namespace {

// The proof checks only the simulation; no model is needed to generate
// commands.
struct Model {};
using SimulationCommand = rc::state::Command<Model, LeavingSimulation>;

struct Operation {
  const char* name;
  void (*run)(LeavingSimulation& simulation, int router, int agent, int amount);
};

constexpr int kMaxAmount = 40;

const std::vector<Operation>& Operations() {
  static const std::vector<Operation> operations = {
      {"advance", [](LeavingSimulation& simulation, int, int,
                     int amount) { simulation.Advance(100 * (1 + amount)); }},
      {"begin leaving",
       [](LeavingSimulation& simulation, int, int agent, int amount) {
         simulation.BeginLeaving(agent, amount % 2 == 0);
       }},
      {"restart", [](LeavingSimulation& simulation, int, int agent,
                     int) { simulation.Restart(agent); }},
      {"partition", [](LeavingSimulation& simulation, int router, int agent,
                       int) { simulation.Partition(router, agent); }},
      {"recover", [](LeavingSimulation& simulation, int router, int agent,
                     int) { simulation.Recover(router, agent); }},
      {"reconnect", [](LeavingSimulation& simulation, int router, int agent,
                       int) { simulation.Reconnect(router, agent); }},
      {"read the VM list", [](LeavingSimulation& simulation, int router, int,
                              int) { simulation.ReadVmList(router); }},
      {"read the record",
       [](LeavingSimulation& simulation, int router, int, int amount) {
         simulation.ReadRecord(router, amount % 3);
       }},
  };
  return operations;
}

class Step : public SimulationCommand {
 public:
  Step()
      : operation_(*rc::gen::weightedElement<size_t>(
            {{8, 0}, {3, 1}, {1, 2}, {3, 3}, {2, 4}, {2, 5}, {1, 6}, {1, 7}})),
        router_(*rc::gen::inRange(0, LeavingSimulation::kRouters)),
        agent_(*rc::gen::inRange(0, LeavingSimulation::kAgents)),
        amount_(*rc::gen::inRange(0, kMaxAmount)) {}

  void run(const Model& /*model*/,
           LeavingSimulation& simulation) const override {
    Operations()[operation_].run(simulation, router_, agent_, amount_);
    if (!simulation.violation().empty()) {
      RC_FAIL(simulation.violation());
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

bool Holds(InjectedFault fault) {
  return rc::check("a leaving agent gets no new work after 3 s", [fault] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const Model model;
    LeavingSimulation simulation(fault, seed);
    rc::state::check(model, simulation,
                     rc::state::gen::execOneOfWithArgs<Step>());
  });
}

}  // namespace

TEST_GROUP(LeavingProof){};

TEST(LeavingProof, HoldsUnderEverySchedule) {
  CHECK(Holds(InjectedFault::kNone));
}

TEST(LeavingProof, DetectsEachInjectedFault) {
  const std::vector<InjectedFault> faults = {
      InjectedFault::kIgnoreLinks, InjectedFault::kIgnoreHeartbeats,
      InjectedFault::kIgnoreLinkTimeout, InjectedFault::kUseStaleCandidates};
  for (InjectedFault fault : faults) {
    CHECK_FALSE(Holds(fault));
  }
}
