#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "claims/plan_directory.h"
#include "claims_simulation.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::claims::ClaimsSimulation;
using godwit::claims::DirectoryMember;
using godwit::claims::DirectoryPlan;
using godwit::claims::MemberState;
using godwit::claims::PlanDirectory;
using InjectedFault = ClaimsSimulation::InjectedFault;

// The invariants hold in every state, so the model has none of its own.
struct Model {};

using ClaimsCommand = rc::state::Command<Model, ClaimsSimulation>;

class Request : public ClaimsCommand {
 public:
  void run(const Model&, ClaimsSimulation& simulation) const override {
    // The caller retries immediately through another router.
    simulation.Request(router_ % simulation.routers(), key_);
    simulation.Request((router_ + retry_) % simulation.routers(), key_);
    simulation.Advance(wait_);
    RC_ASSERT(simulation.MostExecutions() <= 1);
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

class InjectFault : public ClaimsCommand {
 public:
  void run(const Model&, ClaimsSimulation& simulation) const override {
    const size_t router = index_ % simulation.routers();
    const size_t agent = index_ % simulation.agents();
    auto& kv = simulation.kv().faults();
    switch (kind_) {
      case 0:
        simulation.KillRouter(router);
        simulation.StartRouter();
        break;
      case 1:
        simulation.KillAgent(agent);
        simulation.StartAgent();
        break;
      case 2:
      case 3:
        simulation.PauseRouter(router, kind_ == 2);
        break;
      case 4:
      case 5:
        simulation.PauseAgent(agent, kind_ == 4);
        break;
      case 6:
      case 7:
        kv.unavailable = kind_ == 6;
        break;
      default:
        kv.lost_answer_percent = 20;
        kv.late_write_percent = 20;
        kv.lost_write_percent = 10;
        kv.slowness = Millis(static_cast<int64_t>(50 * index_));
        break;
    }
    simulation.Advance(wait_);
    RC_ASSERT(simulation.MostExecutions() <= 1);
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

void RunSchedule(ClaimsSimulation& simulation) {
  for (int i = 0; i < 3; ++i) {
    simulation.StartAgent();
    simulation.StartRouter();
  }
  rc::state::check(
      Model(), simulation,
      rc::state::gen::execOneOfWithArgs<Request, Request, InjectFault>());
  simulation.Finish();
}

void AtMostOnce(InjectedFault fault) {
  ClaimsSimulation simulation(*rc::gen::arbitrary<uint64_t>(), fault);
  RunSchedule(simulation);
  RC_ASSERT(simulation.MostExecutions() <= 1);
}

void NotRun(InjectedFault fault) {
  ClaimsSimulation simulation(*rc::gen::arbitrary<uint64_t>(), fault);
  RunSchedule(simulation);
  RC_ASSERT(!simulation.RanAfterNotRun());
}

// Generates a fleet whose agents join and are removed at any time.
std::vector<DirectoryMember> RandomFleet() {
  const int size = *rc::gen::inRange(2, 9);
  std::vector<DirectoryMember> members;
  members.reserve(static_cast<size_t>(size));
  for (int i = 0; i < size; ++i) {
    DirectoryMember member;
    member.incarnation =
        godwit::base::Incarnation("agent-" + std::to_string(i));
    member.data_centre =
        godwit::base::DataCentreId(std::to_string(*rc::gen::inRange(0, 3)));
    member.joined_at = Millis(*rc::gen::inRange<int64_t>(0, 2000));
    // Half of them are never removed.
    member.removed_at =
        member.joined_at + Millis(*rc::gen::inRange<int64_t>(1, 4000));
    member.state = *rc::gen::arbitrary<bool>() ? MemberState::kRemoved
                                               : MemberState::kActive;
    members.push_back(member);
  }
  return members;
}

// Returns the fleet record as of `at`.
std::vector<DirectoryMember> FleetAt(const std::vector<DirectoryMember>& fleet,
                                     Millis at) {
  std::vector<DirectoryMember> present;
  for (DirectoryMember member : fleet) {
    if (member.joined_at > at) {
      continue;
    }
    if (member.state == MemberState::kRemoved && member.removed_at > at) {
      member.state = MemberState::kActive;
    }
    present.push_back(member);
  }
  return present;
}

std::vector<DirectoryMember> LiveMembers(const DirectoryPlan& plan,
                                         bool shadows) {
  std::vector<DirectoryMember> live;
  for (const auto* copy : {&plan.primary, &plan.secondary}) {
    if (*copy && (*copy)->state != MemberState::kRemoved) {
      live.push_back(**copy);
    }
  }
  if (shadows) {
    live.insert(live.end(), plan.shadows.begin(), plan.shadows.end());
  }
  return live;
}

// Checks that at least one live copy that is queried for a key within the
// retention was informed of its owner when the key was registered.
void CheckLaterCopiesHaveTheOwner(bool with_shadows) {
  constexpr Millis retention(1000);
  const auto fleet = RandomFleet();
  const auto key =
      godwit::base::Digest::Of(std::to_string(*rc::gen::arbitrary<int>()));
  const Millis registered_at(*rc::gen::inRange<int64_t>(0, 4000));
  const Millis queried_at =
      registered_at + Millis(*rc::gen::inRange<int64_t>(0, retention.count()));
  const auto first = PlanDirectory(FleetAt(fleet, registered_at), key,
                                   registered_at, retention);
  const auto later =
      PlanDirectory(FleetAt(fleet, queried_at), key, queried_at, retention);
  // A fleet with a single live agent has no second copy to lose.
  if (later.copies_lost || LiveMembers(first, false).size() < 2) {
    return;
  }
  std::set<godwit::base::Incarnation> informed;
  for (const auto& member : LiveMembers(first, with_shadows)) {
    informed.insert(member.incarnation);
  }
  const auto copies = LiveMembers(later, false);
  RC_ASSERT(std::any_of(copies.begin(), copies.end(), [&](const auto& member) {
    return informed.count(member.incarnation) != 0;
  }));
}

// Checks that each injected fault makes the property fail.
void CheckDetected(void (*property)(InjectedFault),
                   std::initializer_list<InjectedFault> faults) {
  for (const InjectedFault fault : faults) {
    CHECK_TEXT(godwit::support::IsFalsified([=] { property(fault); }),
               std::to_string(static_cast<int>(fault)).c_str());
  }
}

}  // namespace

TEST_GROUP(AtMostOnce){};

TEST(AtMostOnce, NoKeyRunsTwice) {
  CHECK(rc::check("at most once", [] { AtMostOnce(InjectedFault::kNone); }));
}

TEST(AtMostOnce, InjectedFaultsAreDetected) {
  CheckDetected(AtMostOnce, {InjectedFault::kKvIgnoresVersions,
                             InjectedFault::kAgentRepeatsAttempts,
                             InjectedFault::kAgentIgnoresTombstones,
                             InjectedFault::kRouterReplacesClaimsOfFailedAgents,
                             InjectedFault::kRouterStartsUnclaimed});
}

TEST_GROUP(BilledOnce){};

TEST(BilledOnce, LaterCopiesOfAKeyHaveItsOwner) {
  CHECK(rc::check("directory", [] { CheckLaterCopiesHaveTheOwner(true); }));
}

TEST(BilledOnce, MissingShadowsAreDetected) {
  CHECK(godwit::support::IsFalsified(
      [] { CheckLaterCopiesHaveTheOwner(false); }));
}

TEST_GROUP(NotRun){};

TEST(NotRun, AttemptsReportedAsNotRunNeverRan) {
  CHECK(rc::check("not run", [] { NotRun(InjectedFault::kNone); }));
}

TEST(NotRun, InjectedFaultsAreDetected) {
  CheckDetected(NotRun, {InjectedFault::kAgentIgnoresTombstones,
                         InjectedFault::kRouterStartsUnclaimed});
}
