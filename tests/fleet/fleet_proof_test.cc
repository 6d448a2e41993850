#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fleet_simulation.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::fleet::FleetSimulation;
using godwit::fleet::InjectedFault;

struct EmptyModel {};

using FleetCommand = rc::state::Command<EmptyModel, FleetSimulation>;

class Send : public FleetCommand {
 public:
  void run(const EmptyModel&, FleetSimulation& simulation) const override {
    simulation.Send(router_, kind_);
    simulation.Advance(wait_);
    RC_ASSERT(simulation.violation() == "");
  }

  void show(std::ostream& os) const override {
    os << "send" << (kind_.keyed ? " keyed" : "")
       << (kind_.repeatable ? "" : " not repeatable")
       << (kind_.stream ? " stream" : "") << " through " << router_ << ", then "
       << wait_.count() << " ms";
  }

 private:
  size_t router_ = *rc::gen::inRange<size_t>(0, 8);
  FleetSimulation::RequestKind kind_{
      *rc::gen::weightedElement<bool>({{3, true}, {1, false}}),
      *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()};
  Millis wait_{*rc::gen::inRange<int64_t>(0, 600)};
};

class Retry : public FleetCommand {
 public:
  void run(const EmptyModel&, FleetSimulation& simulation) const override {
    if (disconnects_) {
      simulation.DisconnectCaller(request_);
    }
    simulation.Retry(router_, request_);
    simulation.Advance(wait_);
    RC_ASSERT(simulation.violation() == "");
  }

  void show(std::ostream& os) const override {
    os << (disconnects_ ? "disconnect and retry " : "retry ") << request_
       << " through " << router_ << ", then " << wait_.count() << " ms";
  }

 private:
  bool disconnects_ = *rc::gen::arbitrary<bool>();
  size_t router_ = *rc::gen::inRange<size_t>(0, 8);
  size_t request_ = *rc::gen::inRange<size_t>(0, FleetSimulation::kMaxRequests);
  Millis wait_{*rc::gen::inRange<int64_t>(0, 600)};
};

class Fault : public FleetCommand {
 public:
  void run(const EmptyModel&, FleetSimulation& simulation) const override {
    auto& kv = simulation.kv().faults();
    switch (kind_) {
      case 0:
        simulation.KillRouter(index_);
        break;
      case 1:
        simulation.RestartAgent(index_);
        break;
      case 2:
        simulation.PauseRouter(index_, on_);
        break;
      case 3:
        simulation.PauseAgent(index_, on_);
        break;
      case 4:
        simulation.PartitionLink(index_, index_ / 2, on_);
        break;
      case 5:
        simulation.StallLinks(index_);
        break;
      case 6:
        simulation.PartitionFromKv(index_, on_);
        break;
      case 7:
        kv.unavailable = on_;
        break;
      case 8:
        kv.lost_answer_percent = on_ ? 30 : 0;
        kv.late_write_percent = on_ ? 10 : 0;
        kv.lost_write_percent = on_ ? 10 : 0;
        kv.slowness = Millis(on_ ? static_cast<int64_t>(100 * index_) : 0);
        break;
      case 9:
        simulation.FailBackend(index_, 2);
        break;
      case 10:
        simulation.DrainAgent(index_);
        break;
      default:
        simulation.TopUp(amount_);
        break;
    }
    simulation.Advance(wait_);
    RC_ASSERT(simulation.violation() == "");
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

// Graceful stops. Only agent 0 is stopped, so that each key keeps a copy of its
// directory entry.
class Drain : public FleetCommand {
 public:
  void run(const EmptyModel&, FleetSimulation& simulation) const override {
    if (router_) {
      simulation.DrainRouter(index_);
    } else {
      simulation.DrainAgent(0);
    }
    simulation.Advance(wait_);
    RC_ASSERT(simulation.violation() == "");
    RC_ASSERT(simulation.interrupted() == "");
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

// Limits between less than the bill of one request and more than the bills of
// all.
int64_t AnyLimit() {
  return int64_t{1} << *rc::gen::inRange<unsigned>(9, 40);
}

void RunSchedule(InjectedFault fault) {
  FleetSimulation simulation(*rc::gen::arbitrary<uint64_t>(), fault,
                             AnyLimit());
  rc::state::check(
      EmptyModel(), simulation,
      rc::state::gen::execOneOfWithArgs<Send, Send, Retry, Fault>());
  const bool settled = simulation.Finish();
  RC_CLASSIFY(simulation.answered() > 2, "more than two answered");
  RC_CLASSIFY(simulation.refused() > 0, "some refused");
  if (!settled || !simulation.CheckEnd().empty()) {
    RC_LOG() << simulation.Describe();
  }
  RC_ASSERT(simulation.violation() == "");
  RC_ASSERT(settled);
  RC_ASSERT(simulation.CheckEnd() == "");
}

void RunDrainSchedule(InjectedFault fault) {
  FleetSimulation simulation(*rc::gen::arbitrary<uint64_t>(), fault,
                             int64_t{1} << 40U);
  rc::state::check(
      EmptyModel(), simulation,
      rc::state::gen::execOneOfWithArgs<Send, Send, Send, Drain>());
  const bool settled = simulation.Finish();
  RC_CLASSIFY(simulation.answered() > 2, "more than two answered");
  RC_ASSERT(settled);
  RC_ASSERT(simulation.violation() == "");
  RC_ASSERT(simulation.interrupted() == "");
  RC_ASSERT(simulation.CheckEnd() == "");
}

}  // namespace

TEST_GROUP(Drain){};

TEST(Drain, InterruptsNoRequest) {
  CHECK(rc::check("drain", [] { RunDrainSchedule(InjectedFault::kNone); }));
}

TEST(Drain, InjectedFaultIsDetected) {
  CHECK(godwit::support::IsFalsified(
      [] { RunDrainSchedule(InjectedFault::kDrainAbortsRuns); }));
}

TEST_GROUP(Fleet){};

TEST(Fleet, UpholdsItsGuarantees) {
  CHECK(rc::check("fleet", [] { RunSchedule(InjectedFault::kNone); }));
}

TEST_GROUP(FleetInjectedFaults){};

TEST(FleetInjectedFaults, InjectedFaultsAreDetected) {
  for (const InjectedFault fault :
       {InjectedFault::kKvIgnoresVersions,
        InjectedFault::kDirectoryAcceptsEveryOwner,
        InjectedFault::kFalseTombstones, InjectedFault::kUsageOmitted,
        InjectedFault::kAnswersReplaced, InjectedFault::kDuplicateExecution}) {
    CHECK_TEXT(godwit::support::IsFalsified([=] { RunSchedule(fault); }),
               std::to_string(static_cast<int>(fault)).c_str());
  }
}
