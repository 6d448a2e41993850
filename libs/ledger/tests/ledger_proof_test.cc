#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "ledger_simulation.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::LedgerSimulation;
using InjectedFault = LedgerSimulation::InjectedFault;

// Model of the expected state: the sum of the top-ups.
struct Oracle {
  Tokens limit = 0;
  int operations = 0;
};

using LedgerCommand = rc::state::Command<Oracle, LedgerSimulation>;

// Advances the simulation, then checks that committed tokens stay within the
// top-ups.
void AdvanceAndCheck(const Oracle& after,
                     LedgerSimulation& simulation,
                     Millis span) {
  simulation.Advance(span);
  RC_ASSERT(simulation.Committed() <= after.limit);
  RC_ASSERT(simulation.RecordIsValid());
}

class Requests : public LedgerCommand {
 public:
  void run(const Oracle& before, LedgerSimulation& simulation) const override {
    for (int i = 0; i < count_; ++i) {
      simulation.Request(router_ % simulation.routers(), amount_ + i);
    }
    AdvanceAndCheck(before, simulation, wait_);
  }

  void show(std::ostream& os) const override {
    os << count_ << " requests of " << amount_ << " at router " << router_
       << ", then " << wait_.count() << " ms";
  }

 private:
  int count_ = *rc::gen::inRange(1, 6);
  Tokens amount_ = *rc::gen::inRange<Tokens>(0, 250);
  size_t router_ = *rc::gen::inRange<size_t>(0, 8);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 800)};
};

class TopUp : public LedgerCommand {
 public:
  void apply(Oracle& oracle) const override {
    oracle.limit += amount_;
    ++oracle.operations;
  }

  void run(const Oracle& before, LedgerSimulation& simulation) const override {
    simulation.TopUp("top-up-" + std::to_string(before.operations), amount_);
    AdvanceAndCheck(nextState(before), simulation, Millis(100));
  }

  void show(std::ostream& os) const override { os << "top up " << amount_; }

 private:
  Tokens amount_ = *rc::gen::inRange<Tokens>(1, 1500);
};

class Fault : public LedgerCommand {
 public:
  void run(const Oracle& before, LedgerSimulation& simulation) const override {
    const size_t router = first_ % simulation.routers();
    const size_t agent = second_ % simulation.agents();
    auto& kv = simulation.kv().faults();
    switch (kind_) {
      case Kind::kKillRouter:
        simulation.KillRouter(router);
        simulation.StartRouter();
        break;
      case Kind::kPauseRouter:
        simulation.PauseRouter(router, true);
        break;
      case Kind::kResumeRouter:
        simulation.PauseRouter(router, false);
        break;
      case Kind::kKillAgent:
        simulation.KillAgent(agent);
        simulation.StartAgent();
        break;
      case Kind::kMarkAgentRemoved:
        simulation.MarkRemoved(agent);
        simulation.StartAgent();
        break;
      case Kind::kPauseAgent:
        simulation.PauseAgent(agent, true);
        break;
      case Kind::kResumeAgent:
        simulation.PauseAgent(agent, false);
        break;
      case Kind::kKvUnavailable:
        kv.unavailable = true;
        break;
      case Kind::kKvAvailable:
        kv.unavailable = false;
        kv.slowness = Millis();
        break;
      case Kind::kKvSlow:
        kv.slowness = Millis(static_cast<int64_t>(100 * second_));
        break;
      case Kind::kKvLosesAnswers:
        kv.lost_answer_percent = 20;
        kv.late_write_percent = 15;
        kv.lost_write_percent = 10;
        break;
      case Kind::kPartitionKv:
        simulation.PartitionFromKv(router, true);
        break;
      case Kind::kReconnectKv:
        simulation.PartitionFromKv(router, false);
        break;
      case Kind::kPartitionLink:
        simulation.PartitionLink(router, agent, true);
        break;
      case Kind::kReconnectLink:
        simulation.PartitionLink(router, agent, false);
        break;
    }
    AdvanceAndCheck(before, simulation, wait_);
  }

  void show(std::ostream& os) const override {
    os << "fault " << static_cast<int>(kind_) << " at " << first_ << ", "
       << second_ << ", then " << wait_.count() << " ms";
  }

 private:
  enum class Kind {
    kKillRouter,
    kPauseRouter,
    kResumeRouter,
    kKillAgent,
    kMarkAgentRemoved,
    kPauseAgent,
    kResumeAgent,
    kKvUnavailable,
    kKvAvailable,
    kKvSlow,
    kKvLosesAnswers,
    kPartitionKv,
    kReconnectKv,
    kPartitionLink,
    kReconnectLink,
  };

  Kind kind_ = static_cast<Kind>(
      *rc::gen::inRange(0, static_cast<int>(Kind::kReconnectLink) + 1));
  size_t first_ = *rc::gen::inRange<size_t>(0, 8);
  size_t second_ = *rc::gen::inRange<size_t>(0, 8);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 4000)};
};

// Runs one random schedule; `simulation` is left in its final state.
void RunSchedule(LedgerSimulation& simulation) {
  simulation.StartAgent();
  simulation.StartAgent();
  simulation.StartRouter();
  simulation.StartRouter();
  simulation.StartRouter();
  rc::state::check(
      Oracle(), simulation,
      rc::state::gen::execOneOfWithArgs<Requests, Requests, Requests, TopUp,
                                        Fault, Fault>());
}

void Overspend(InjectedFault injected) {
  LedgerSimulation simulation(*rc::gen::arbitrary<uint64_t>(), injected);
  RunSchedule(simulation);
}

void BilledOnce(InjectedFault injected) {
  LedgerSimulation simulation(*rc::gen::arbitrary<uint64_t>(), injected);
  RunSchedule(simulation);
  RC_ASSERT(simulation.Finish());
  const auto budget = simulation.StoredBudget();
  RC_ASSERT(budget.billed <= simulation.Ended());
  RC_ASSERT(simulation.Answered() <= budget.billed + budget.held);
  if (!simulation.HasRemovedAgent()) {
    RC_ASSERT(budget.held == 0);
    RC_ASSERT(budget.billed == simulation.Ended());
  }
}

void NotRun(InjectedFault injected) {
  LedgerSimulation simulation(*rc::gen::arbitrary<uint64_t>(), injected);
  RunSchedule(simulation);
  simulation.Finish();
  RC_ASSERT(simulation.RefusedNeverRan());
  RC_ASSERT(simulation.Unanswered() == 0U);
}

using Property = void (*)(InjectedFault);

// Checks that the property fails with each of the injected faults.
void CheckDetected(Property property,
                   std::initializer_list<InjectedFault> faults) {
  for (const InjectedFault injected : faults) {
    CHECK_TEXT(godwit::support::IsFalsified([=] { property(injected); }),
               std::to_string(static_cast<int>(injected)).c_str());
  }
}

}  // namespace

TEST_GROUP(Overspend){};

TEST(Overspend, SpendStaysWithinTheTopUps) {
  CHECK(rc::check("overspend", [] { Overspend(InjectedFault::kNone); }));
}

TEST(Overspend, DetectsInjectedFaults) {
  CheckDetected(Overspend, {InjectedFault::kKvIgnoresVersions,
                            InjectedFault::kAgentIgnoresSeal,
                            InjectedFault::kRecoverySkipsAgents});
}

TEST_GROUP(BilledOnce){};

TEST(BilledOnce, LedgerMatchesTheAnsweredBills) {
  CHECK(rc::check("billed once", [] { BilledOnce(InjectedFault::kNone); }));
}

TEST(BilledOnce, DetectsInjectedFaults) {
  CheckDetected(BilledOnce, {InjectedFault::kAgentOmitsRun,
                             InjectedFault::kRouterDropsBills,
                             InjectedFault::kRecoverySkipsAgents});
}

TEST_GROUP(NotRun){};

TEST(NotRun, RefusedReservationsNeverRun) {
  CHECK(rc::check("not run", [] { NotRun(InjectedFault::kNone); }));
}

TEST(NotRun, DetectsInjectedFaults) {
  CheckDetected(NotRun, {InjectedFault::kRouterStartsRefused});
}
