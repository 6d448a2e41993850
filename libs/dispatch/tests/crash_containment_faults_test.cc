// Schedules of faults while requests crash servers, and while none does.
#include <algorithm>
#include <cstdint>
#include <vector>

#include <rapidcheck.h>

#include "router_fleet.h"
#include "support/is_falsified.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

constexpr Millis kStabilityWindow(3000);
constexpr size_t kCrashesUntilKnown = 5;
constexpr size_t kCrashesUntilRequestKnown = 3;
constexpr int64_t kToleratedRequests = 3;

struct Fleet {
  RouterFleet::Options options;
  // Requests a second with a crashing part; none if 0.
  double crashing_per_second = 0;
};

Fleet AnyFleet() {
  Fleet fleet;
  fleet.options.routers = *rc::gen::inRange<size_t>(2, 9);
  fleet.options.servers = *rc::gen::inRange<size_t>(3, 16);
  fleet.options.requests_per_second = 40;
  fleet.options.has_prompts = true;
  fleet.options.events = 17;
  fleet.options.event_gap = Millis(60);
  fleet.options.timeout = Millis(6000);
  fleet.options.slots = 48;
  fleet.options.datagram_loss = *rc::gen::element(0.0, 0.01, 0.1);
  fleet.options.seed = *rc::gen::arbitrary<uint64_t>();
  return fleet;
}

// Restarts, pauses and partitions of routers, outages of the store, and crashes
// of one or of half of the servers that no request causes. The first router is
// never restarted: crash_containment_restart_test replays the loss of all.
void InjectAnyFault(RouterFleet& fleet, size_t servers) {
  const auto router = *rc::gen::inRange<size_t>(0, fleet.routers());
  const auto server = *rc::gen::inRange<size_t>(0, servers);
  const Millis span(*rc::gen::inRange<int64_t>(100, 6000));
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      fleet.Restart(std::max<size_t>(1, router), span);
      break;
    case 1:
      fleet.Freeze(router, span);
      break;
    case 2:
      fleet.Cut(router, span);
      break;
    case 3:
      fleet.StopStore(span);
      break;
    case 4:
      fleet.Crash(server, span);
      break;
    default:
      for (size_t i = 0; i < servers; i += 2) {
        fleet.Crash(i, span);
      }
      break;
  }
}

void InjectFaults(RouterFleet& fleet, const Fleet& plan) {
  const int steps = *rc::gen::inRange(0, 12);
  for (int i = 0; i < steps; ++i) {
    InjectAnyFault(fleet, plan.options.servers);
    fleet.Run(Millis(*rc::gen::inRange<int64_t>(0, 2500)));
  }
  fleet.Run(Millis(8000));
}

// What the prompts with the crashing part have behind it.
const std::vector<std::vector<uint64_t>>& BesideParts() {
  static const std::vector<std::vector<uint64_t>> parts = {
      {}, {101}, {102, 103, 104}};
  return parts;
}

void Play(RouterFleet& fleet, const Fleet& plan) {
  fleet.Run(Millis(*rc::gen::inRange<int64_t>(500, 8000)));
  if (plan.crashing_per_second > 0) {
    fleet.SendCrashingParts(plan.crashing_per_second, {1},
                            *rc::gen::elementOf(BesideParts()));
  }
  InjectFaults(fleet, plan);
}

void CrashingPartsAreContained(bool hides_parts) {
  Fleet plan = AnyFleet();
  plan.crashing_per_second = *rc::gen::element(0.5, 2.0, 10.0, 40.0);
  plan.options.hides_parts = hides_parts;
  RouterFleet fleet(plan.options);
  Play(fleet, plan);
  RC_ASSERT(fleet.SentAfterCrash(kCrashesUntilKnown, kStabilityWindow) <=
            kToleratedRequests);
}

void CrashingRequestsAreContained(bool hides_contents) {
  Fleet plan = AnyFleet();
  plan.options.has_prompts = false;
  plan.options.hides_contents = hides_contents;
  RouterFleet fleet(plan.options);
  fleet.Run(Millis(*rc::gen::inRange<int64_t>(500, 8000)));
  fleet.SendCrashingRequest(*rc::gen::element(0.5, 2.0, 10.0));
  InjectFaults(fleet, plan);
  RC_ASSERT(fleet.SentAfterCrash(kCrashesUntilRequestKnown, kStabilityWindow) <=
            kToleratedRequests);
}

void NothingElseIsContained() {
  const Fleet plan = AnyFleet();
  RouterFleet fleet(plan.options);
  Play(fleet, plan);
  RC_ASSERT(fleet.bystanders().contained == 0);
}

}  // namespace

TEST_GROUP(CrashContainmentFaults){};

TEST(CrashContainmentFaults, CrashingPartsAreContainedOverFaults) {
  CHECK(rc::check("crashing parts are contained",
                  [] { CrashingPartsAreContained(false); }));
}

TEST(CrashContainmentFaults, CrashingRequestsAreContainedOverFaults) {
  CHECK(rc::check("crashing requests are contained",
                  [] { CrashingRequestsAreContained(false); }));
}

TEST(CrashContainmentFaults, UnknownContentsAreDetected) {
  CHECK(
      godwit::support::IsFalsified([] { CrashingRequestsAreContained(true); }));
}

TEST(CrashContainmentFaults, UnknownPartsAreDetected) {
  CHECK(godwit::support::IsFalsified([] { CrashingPartsAreContained(true); }));
}

TEST(CrashContainmentFaults, LossesOfServersAloneContainNothing) {
  CHECK(rc::check("nothing is contained", NothingElseIsContained));
}
