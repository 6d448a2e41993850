#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fleet_world.h"
#include "support/planted.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::fleet::FleetWorld;
using godwit::fleet::Planted;

struct Oracle {};

using FleetCommand = rc::state::Command<Oracle, FleetWorld>;

class Send : public FleetCommand {
 public:
  void run(const Oracle&, FleetWorld& world) const override {
    world.Send(router_, kind_);
    world.Advance(wait_);
    RC_ASSERT(world.violation() == "");
  }

  void show(std::ostream& os) const override {
    os << "send" << (kind_.keyed ? " keyed" : "")
       << (kind_.repeatable ? "" : " not repeatable")
       << (kind_.stream ? " stream" : "") << " through " << router_ << ", then "
       << wait_.count() << " ms";
  }

 private:
  size_t router_ = *rc::gen::inRange<size_t>(0, 8);
  FleetWorld::Kind kind_{
      *rc::gen::weightedElement<bool>({{3, true}, {1, false}}),
      *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
  Millis wait_{*rc::gen::inRange<int64_t>(0, 600)};
};

class Retry : public FleetCommand {
 public:
  void run(const Oracle&, FleetWorld& world) const override {
    if (leaves_) {
      world.Leave(request_);
    }
    world.Retry(router_, request_);
    world.Advance(wait_);
    RC_ASSERT(world.violation() == "");
  }

  void show(std::ostream& os) const override {
    os << (leaves_ ? "leave and retry " : "retry ") << request_ << " through "
       << router_ << ", then " << wait_.count() << " ms";
  }

 private:
  bool leaves_ = *rc::gen::arbitrary<bool>();
  size_t router_ = *rc::gen::inRange<size_t>(0, 8);
  size_t request_ = *rc::gen::inRange<size_t>(0, FleetWorld::kMaxRequests);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 600)};
};

class Fault : public FleetCommand {
 public:
  void run(const Oracle&, FleetWorld& world) const override {
    auto& kv = world.kv().faults();
    switch (kind_) {
      case 0:
        world.KillRouter(index_);
        break;
      case 1:
        world.RestartAgent(index_);
        break;
      case 2:
        world.PauseRouter(index_, on_);
        break;
      case 3:
        world.PauseAgent(index_, on_);
        break;
      case 4:
        world.CutLink(index_, index_ / 2, on_);
        break;
      case 5:
        world.SilenceLinks(index_);
        break;
      case 6:
        world.CutFromKv(index_, on_);
        break;
      case 7:
        kv.down = on_;
        break;
      case 8:
        kv.lost_answer_percent = on_ ? 30 : 0;
        kv.late_write_percent = on_ ? 10 : 0;
        kv.lost_write_percent = on_ ? 10 : 0;
        kv.slowness = Millis(on_ ? static_cast<int64_t>(100 * index_) : 0);
        break;
      case 9:
        world.FailBackend(index_, 2);
        break;
      case 10:
        world.DrainAgent(index_);
        break;
      default:
        world.TopUp(amount_);
        break;
    }
    world.Advance(wait_);
    RC_ASSERT(world.violation() == "");
  }

  void show(std::ostream& os) const override {
    os << "fault " << kind_ << (on_ ? " on" : " off") << " at " << index_
       << " amount " << amount_ << ", then " << wait_.count() << " ms";
  }

 private:
  int kind_ = *rc::gen::inRange(0, 12);
  bool on_ = *rc::gen::weightedElement<bool>({{2, true}, {1, false}});
  size_t index_ = *rc::gen::inRange<size_t>(0, 8);
  int64_t amount_ = *rc::gen::inRange<int64_t>(1, 1 << 20);
  Millis wait_{*rc::gen::weightedOneOf<int64_t>(
      {{4, rc::gen::inRange<int64_t>(0, 600)},
       {1, rc::gen::inRange<int64_t>(0, 16000)}})};
};

// Stops in order. Only one agent is stopped, so that each key keeps a copy of
// its directory entry.
class Drain : public FleetCommand {
 public:
  void run(const Oracle&, FleetWorld& world) const override {
    if (router_) {
      world.DrainRouter(index_);
    } else {
      world.DrainAgent(0);
    }
    world.Advance(wait_);
    RC_ASSERT(world.violation() == "");
    RC_ASSERT(world.cut_off() == "");
  }

  void show(std::ostream& os) const override {
    os << "drain " << (router_ ? "router " : "agent 0, not ") << index_
       << ", then " << wait_.count() << " ms";
  }

 private:
  bool router_ = *rc::gen::arbitrary<bool>();
  size_t index_ = *rc::gen::inRange<size_t>(0, 8);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 3000)};
};

// Limits from less than one request to more than all.
int64_t AnyLimit() {
  return int64_t{1} << *rc::gen::inRange<unsigned>(9, 40);
}

void RunSchedule(Planted planted) {
  FleetWorld world(*rc::gen::arbitrary<uint64_t>(), planted, AnyLimit());
  rc::state::check(
      Oracle(), world,
      rc::state::gen::execOneOfWithArgs<Send, Send, Retry, Fault>());
  const bool settled = world.Finish();
  RC_CLASSIFY(world.answered() > 2, "more than two answered");
  RC_CLASSIFY(world.refused() > 0, "some refused");
  if (!settled || !world.CheckEnd().empty()) {
    RC_LOG() << world.Describe();
  }
  RC_ASSERT(world.violation() == "");
  RC_ASSERT(settled);
  RC_ASSERT(world.CheckEnd() == "");
}

void RunDrains(Planted planted) {
  FleetWorld world(*rc::gen::arbitrary<uint64_t>(), planted, int64_t{1} << 40U);
  rc::state::check(
      Oracle(), world,
      rc::state::gen::execOneOfWithArgs<Send, Send, Send, Drain>());
  const bool settled = world.Finish();
  RC_CLASSIFY(world.answered() > 2, "more than two answered");
  RC_ASSERT(settled);
  RC_ASSERT(world.violation() == "");
  RC_ASSERT(world.cut_off() == "");
  RC_ASSERT(world.CheckEnd() == "");
}

}  // namespace

TEST_GROUP(Drain){};

TEST(Drain, CutsNothingOff) {
  CHECK(rc::check("drain", [] { RunDrains(Planted::kNone); }));
}

TEST(Drain, PlantedFaultIsCaught) {
  CHECK(godwit::support::IsFalsified([] { RunDrains(Planted::kDrainCuts); }));
}

TEST_GROUP(Fleet){};

TEST(Fleet, KeepsItsPromises) {
  CHECK(rc::check("fleet", [] { RunSchedule(Planted::kNone); }));
}

TEST_GROUP(FleetPlanted){};

TEST(FleetPlanted, PlantedFaultsAreCaught) {
  for (const Planted planted :
       {Planted::kKvIgnoresVersions, Planted::kDirectoryForgets,
        Planted::kTombstonesLie, Planted::kUsageLost, Planted::kAnswersCrossed,
        Planted::kRunsTwice}) {
    CHECK_TEXT(godwit::support::IsFalsified([=] { RunSchedule(planted); }),
               std::to_string(static_cast<int>(planted)).c_str());
  }
}
