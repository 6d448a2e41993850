#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "ledger_world.h"
#include "support/planted.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::LedgerWorld;
using Planted = LedgerWorld::Planted;

// What must be true whatever happens: the sum of the top-ups.
struct Oracle {
  Tokens limit = 0;
  int operations = 0;
};

using LedgerCommand = rc::state::Command<Oracle, LedgerWorld>;

// Lets time pass, then checks that what was spent and what still may be stays
// within the top-ups.
void PassTime(const Oracle& after, LedgerWorld& world, Millis span) {
  world.Advance(span);
  RC_ASSERT(world.Committed() <= after.limit);
  RC_ASSERT(world.RecordIsSound());
}

class Requests : public LedgerCommand {
 public:
  void run(const Oracle& before, LedgerWorld& world) const override {
    for (int i = 0; i < count_; ++i) {
      world.Request(router_ % world.routers(), amount_ + i);
    }
    PassTime(before, world, wait_);
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

  void run(const Oracle& before, LedgerWorld& world) const override {
    world.TopUp("top-up-" + std::to_string(before.operations), amount_);
    PassTime(nextState(before), world, Millis(100));
  }

  void show(std::ostream& os) const override { os << "top up " << amount_; }

 private:
  Tokens amount_ = *rc::gen::inRange<Tokens>(1, 1500);
};

class Fault : public LedgerCommand {
 public:
  void run(const Oracle& before, LedgerWorld& world) const override {
    const size_t router = first_ % world.routers();
    const size_t agent = second_ % world.agents();
    auto& kv = world.kv().faults();
    switch (kind_) {
      case Kind::kKillRouter:
        world.KillRouter(router);
        world.StartRouter();
        break;
      case Kind::kPauseRouter:
        world.PauseRouter(router, true);
        break;
      case Kind::kResumeRouter:
        world.PauseRouter(router, false);
        break;
      case Kind::kKillAgent:
        world.KillAgent(agent);
        world.StartAgent();
        break;
      case Kind::kAgentSeenGone:
        world.MarkGone(agent);
        world.StartAgent();
        break;
      case Kind::kPauseAgent:
        world.PauseAgent(agent, true);
        break;
      case Kind::kResumeAgent:
        world.PauseAgent(agent, false);
        break;
      case Kind::kKvDown:
        kv.down = true;
        break;
      case Kind::kKvUp:
        kv.down = false;
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
      case Kind::kCutKv:
        world.CutFromKv(router, true);
        break;
      case Kind::kHealKv:
        world.CutFromKv(router, false);
        break;
      case Kind::kCutLink:
        world.CutLink(router, agent, true);
        break;
      case Kind::kHealLink:
        world.CutLink(router, agent, false);
        break;
    }
    PassTime(before, world, wait_);
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
    kAgentSeenGone,
    kPauseAgent,
    kResumeAgent,
    kKvDown,
    kKvUp,
    kKvSlow,
    kKvLosesAnswers,
    kCutKv,
    kHealKv,
    kCutLink,
    kHealLink,
  };

  Kind kind_ = static_cast<Kind>(
      *rc::gen::inRange(0, static_cast<int>(Kind::kHealLink) + 1));
  size_t first_ = *rc::gen::inRange<size_t>(0, 8);
  size_t second_ = *rc::gen::inRange<size_t>(0, 8);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 4000)};
};

// Runs one random schedule and gives the world at its end.
void RunSchedule(LedgerWorld& world) {
  world.StartAgent();
  world.StartAgent();
  world.StartRouter();
  world.StartRouter();
  world.StartRouter();
  rc::state::check(
      Oracle(), world,
      rc::state::gen::execOneOfWithArgs<Requests, Requests, Requests, TopUp,
                                        Fault, Fault>());
}

void Overspend(Planted planted) {
  LedgerWorld world(*rc::gen::arbitrary<uint64_t>(), planted);
  RunSchedule(world);
}

void BilledOnce(Planted planted) {
  LedgerWorld world(*rc::gen::arbitrary<uint64_t>(), planted);
  RunSchedule(world);
  RC_ASSERT(world.Finish());
  const auto budget = world.StoredBudget();
  RC_ASSERT(budget.billed <= world.Ended());
  RC_ASSERT(world.Answered() <= budget.billed + budget.held);
  if (!world.LostAnAgent()) {
    RC_ASSERT(budget.held == 0);
    RC_ASSERT(budget.billed == world.Ended());
  }
}

void NotRun(Planted planted) {
  LedgerWorld world(*rc::gen::arbitrary<uint64_t>(), planted);
  RunSchedule(world);
  world.Finish();
  RC_ASSERT(world.RefusedNeverRan());
  RC_ASSERT(world.Unanswered() == 0U);
}

using Property = void (*)(Planted);

// A check that each of the planted faults makes the property fail.
void CheckCaught(Property property, std::initializer_list<Planted> faults) {
  for (const Planted planted : faults) {
    CHECK_TEXT(godwit::support::IsFalsified([=] { property(planted); }),
               std::to_string(static_cast<int>(planted)).c_str());
  }
}

}  // namespace

TEST_GROUP(Overspend){};

TEST(Overspend, SpendStaysWithinTheTopUps) {
  CHECK(rc::check("overspend", [] { Overspend(Planted::kNone); }));
}

TEST(Overspend, PlantedFaultsAreCaught) {
  CheckCaught(Overspend,
              {Planted::kKvIgnoresVersions, Planted::kAgentIgnoresSeal,
               Planted::kRecoveryAsksNobody});
}

TEST_GROUP(BilledOnce){};

TEST(BilledOnce, LedgerEqualsWhatWasAnswered) {
  CHECK(rc::check("billed once", [] { BilledOnce(Planted::kNone); }));
}

TEST(BilledOnce, PlantedFaultsAreCaught) {
  CheckCaught(BilledOnce,
              {Planted::kAgentForgetsRun, Planted::kRouterDropsBills,
               Planted::kRecoveryAsksNobody});
}

TEST_GROUP(NotRun){};

TEST(NotRun, RefusedReservationsNeverRun) {
  CHECK(rc::check("not run", [] { NotRun(Planted::kNone); }));
}

TEST(NotRun, PlantedFaultsAreCaught) {
  CheckCaught(NotRun, {Planted::kRouterStartsRefused});
}
