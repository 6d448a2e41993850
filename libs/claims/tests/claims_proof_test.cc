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
#include "claims_world.h"
#include "support/planted.h"

#include <CppUTest/TestHarness.h>

namespace {

using godwit::base::Millis;
using godwit::claims::ClaimsWorld;
using godwit::claims::DirectoryMember;
using godwit::claims::DirectoryPlan;
using godwit::claims::MemberState;
using godwit::claims::PlanDirectory;
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

// A fleet whose agents join and go at any time.
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
    // Half of them stay.
    member.removed_at =
        member.joined_at + Millis(*rc::gen::inRange<int64_t>(1, 4000));
    member.state = *rc::gen::arbitrary<bool>() ? MemberState::kRemoved
                                               : MemberState::kActive;
    members.push_back(member);
  }
  return members;
}

// The fleet record as it is at a time.
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

std::vector<DirectoryMember> Living(const DirectoryPlan& plan, bool shadows) {
  std::vector<DirectoryMember> living;
  for (const auto* copy : {&plan.primary, &plan.secondary}) {
    if (*copy && (*copy)->state != MemberState::kRemoved) {
      living.push_back(**copy);
    }
  }
  if (shadows) {
    living.insert(living.end(), plan.shadows.begin(), plan.shadows.end());
  }
  return living;
}

// Whoever is asked for a key within the retention was told its owner; or, if
// some copy was not, another copy that is asked was.
void LaterCopiesHaveTheOwner(bool with_shadows) {
  constexpr Millis retention(1000);
  const auto fleet = RandomFleet();
  const auto key =
      godwit::base::Digest::Of(std::to_string(*rc::gen::arbitrary<int>()));
  const Millis registered(*rc::gen::inRange<int64_t>(0, 4000));
  const Millis asked =
      registered + Millis(*rc::gen::inRange<int64_t>(0, retention.count()));
  const auto first =
      PlanDirectory(FleetAt(fleet, registered), key, registered, retention);
  const auto later =
      PlanDirectory(FleetAt(fleet, asked), key, asked, retention);
  // A fleet with a single agent alive has no second copy to lose.
  if (later.copies_lost || Living(first, false).size() < 2) {
    return;
  }
  std::set<godwit::base::Incarnation> told;
  for (const auto& member : Living(first, with_shadows)) {
    told.insert(member.incarnation);
  }
  const auto copies = Living(later, false);
  RC_ASSERT(std::any_of(copies.begin(), copies.end(), [&](const auto& member) {
    return told.count(member.incarnation) != 0;
  }));
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

TEST_GROUP(BilledOnce){};

TEST(BilledOnce, LaterCopiesOfAKeyHaveItsOwner) {
  CHECK(rc::check("directory", [] { LaterCopiesHaveTheOwner(true); }));
}

TEST(BilledOnce, MissingShadowsAreCaught) {
  CHECK(godwit::support::IsFalsified([] { LaterCopiesHaveTheOwner(false); }));
}

TEST_GROUP(NotRun){};

TEST(NotRun, AttemptsCalledNotRunNeverRan) {
  CHECK(rc::check("not run", [] { NotRun(Planted::kNone); }));
}

TEST(NotRun, PlantedFaultsAreCaught) {
  CheckCaught(NotRun, {Planted::kAgentIgnoresTombstones,
                       Planted::kRouterStartsUnclaimed});
}
