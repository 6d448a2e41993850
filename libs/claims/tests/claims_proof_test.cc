#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "claims_world.h"
#include "support/planted.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::claims::ClaimsWorld;
using Planted = ClaimsWorld::Planted;

// What must be true whatever happens needs no state.
struct Oracle {};

using ClaimsCommand = rc::state::Command<Oracle, ClaimsWorld>;

class Request : public ClaimsCommand {
 public:
  void run(const Oracle&, ClaimsWorld& world) const override {
    // The caller retries at once through another router.
    world.Request(router_ % world.routers(), key_);
    world.Request((router_ + retry_) % world.routers(), key_);
    world.Advance(wait_);
    RC_ASSERT(world.MostExecutions() <= 1);
  }

  void show(std::ostream& os) const override {
    os << "key " << key_ << " through router " << router_ << " and "
       << router_ + retry_ << ", then " << wait_.count() << " ms";
  }

 private:
  size_t router_ = *rc::gen::inRange<size_t>(0, 8);
  size_t retry_ = *rc::gen::inRange<size_t>(0, 3);
  int key_ = *rc::gen::inRange(0, 4);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 1000)};
};

class Fault : public ClaimsCommand {
 public:
  void run(const Oracle&, ClaimsWorld& world) const override {
    const size_t router = index_ % world.routers();
    const size_t agent = index_ % world.agents();
    auto& kv = world.kv().faults();
    switch (kind_) {
      case 0:
        world.KillRouter(router);
        world.StartRouter();
        break;
      case 1:
        world.KillAgent(agent);
        world.StartAgent();
        break;
      case 2:
      case 3:
        world.PauseRouter(router, kind_ == 2);
        break;
      case 4:
      case 5:
        world.PauseAgent(agent, kind_ == 4);
        break;
      case 6:
      case 7:
        kv.down = kind_ == 6;
        break;
      default:
        kv.lost_answer_percent = 20;
        kv.late_write_percent = 20;
        kv.lost_write_percent = 10;
        kv.slowness = Millis(static_cast<int64_t>(50 * index_));
        break;
    }
    world.Advance(wait_);
    RC_ASSERT(world.MostExecutions() <= 1);
  }

  void show(std::ostream& os) const override {
    os << "fault " << kind_ << " at " << index_ << ", then " << wait_.count()
       << " ms";
  }

 private:
  int kind_ = *rc::gen::inRange(0, 9);
  size_t index_ = *rc::gen::inRange<size_t>(0, 8);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 2000)};
};

void RunSchedule(ClaimsWorld& world) {
  for (int i = 0; i < 3; ++i) {
    world.StartAgent();
    world.StartRouter();
  }
  rc::state::check(
      Oracle(), world,
      rc::state::gen::execOneOfWithArgs<Request, Request, Fault>());
  world.Finish();
}

void AtMostOnce(Planted planted) {
  ClaimsWorld world(*rc::gen::arbitrary<uint64_t>(), planted);
  RunSchedule(world);
  RC_ASSERT(world.MostExecutions() <= 1);
}

void NotRun(Planted planted) {
  ClaimsWorld world(*rc::gen::arbitrary<uint64_t>(), planted);
  RunSchedule(world);
  RC_ASSERT(!world.RanAfterNotRun());
}

// A check that each of the planted faults makes the property fail.
void CheckCaught(void (*property)(Planted),
                 std::initializer_list<Planted> faults) {
  for (const Planted planted : faults) {
    CHECK_TEXT(godwit::support::IsFalsified([=] { property(planted); }),
               std::to_string(static_cast<int>(planted)).c_str());
  }
}

}  // namespace

TEST_GROUP(AtMostOnce){};

TEST(AtMostOnce, NoKeyRunsTwice) {
  CHECK(rc::check("at most once", [] { AtMostOnce(Planted::kNone); }));
}

TEST(AtMostOnce, PlantedFaultsAreCaught) {
  CheckCaught(AtMostOnce,
              {Planted::kKvIgnoresVersions, Planted::kAgentRepeats,
               Planted::kAgentIgnoresTombstones, Planted::kRouterReplacesLost,
               Planted::kRouterStartsUnclaimed});
}

TEST_GROUP(NotRun){};

TEST(NotRun, AttemptsCalledNotRunNeverRan) {
  CHECK(rc::check("not run", [] { NotRun(Planted::kNone); }));
}

TEST(NotRun, PlantedFaultsAreCaught) {
  CheckCaught(NotRun, {Planted::kAgentIgnoresTombstones,
                       Planted::kRouterStartsUnclaimed});
}
