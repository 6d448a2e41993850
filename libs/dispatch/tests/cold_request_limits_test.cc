#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/fleet_members.h"
#include "dispatch/request_limits.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::ColdLimit;
using godwit::dispatch::FleetMembers;
using godwit::dispatch::Reply;
using godwit::dispatch::RequestLimits;
using godwit::ledger::Peer;

namespace {

constexpr Millis kSettledAt(30'000);
constexpr Millis kWarmAt(100'000);

Backend Server() {
  Backend backend;
  backend.instance = "s1";
  backend.service = ServiceId("model");
  return backend;
}

FleetMembers Settled(size_t routers, size_t self) {
  std::vector<Peer> peers(routers);
  for (size_t i = 0; i < routers; ++i) {
    peers[i].process = ProcessId("r" + std::to_string(i));
  }
  FleetMembers members(peers[self].process);
  for (int64_t at = 1000; at <= kSettledAt.count(); at += 1000) {
    members.SetListed(Millis(at), peers);
  }
  return members;
}

// Requests of a router that may always send, in a span from the second second
// on.
int64_t SentIn(RequestLimits& limits, Millis span) {
  int64_t sent = 0;
  for (Millis at = kSettledAt; at < kSettledAt + span; at = at + Millis(25)) {
    limits.Tick(at);
    while (limits.MaySend(at, Server())) {
      limits.OnSent(at, Server());
      ++sent;
    }
  }
  return sent;
}

}  // namespace

TEST_GROUP(ColdRequestLimits){};

// Routers that were idle, or learn of the server at one time, and all send at
// once.
TEST(ColdRequestLimits, RoutersThatMayAllSendAtOnceDivideTheRate) {
  struct Case {
    size_t routers;
    double rate;
    // Requests in a second, and the least in ten seconds.
    int64_t most;
    int64_t least;
  };
  const std::vector<Case> cases = {{1, 1, 1, 9},      {1, 0.2, 1, 1},
                                   {4, 1, 1, 9},      {4, 5, 5, 44},
                                   {4, 40, 40, 360},  {23, 24, 24, 216},
                                   {24, 1.5, 2, 13},  {100, 40, 40, 360},
                                   {320, 10, 10, 90}, {320, 400, 400, 3600}};
  for (const Case& c : cases) {
    int64_t in_a_second = 0;
    int64_t in_ten = 0;
    for (size_t i = 0; i < c.routers; ++i) {
      const FleetMembers members = Settled(c.routers, i);
      RequestLimits limits(members);
      limits.SetCold(Millis(1000), Server(), ColdLimit{c.rate, kWarmAt});
      limits.OnRoutersListed(Millis(2000));
      in_a_second += SentIn(limits, Millis(1000));
      in_ten += SentIn(limits, Millis(0));
      RequestLimits again(members);
      again.SetCold(kSettledAt, Server(), ColdLimit{c.rate, kWarmAt});
      again.OnRoutersListed(kSettledAt);
      in_ten += SentIn(again, Millis(10'000));
    }
    const std::string name =
        std::to_string(c.routers) + " routers, " + std::to_string(c.rate);
    CHECK_TEXT(in_a_second <= c.most,
               (name + ": " + std::to_string(in_a_second)).c_str());
    CHECK_TEXT(in_ten >= c.least,
               (name + ": " + std::to_string(in_ten)).c_str());
  }
}

TEST(ColdRequestLimits, OfTwoLimitsTheLowerApplies) {
  struct Case {
    double cold;
    double stated;
    int64_t most;
  };
  const std::vector<Case> cases = {{2, 10, 22}, {10, 2, 22}};
  for (const Case& c : cases) {
    const FleetMembers members = Settled(1, 0);
    RequestLimits limits(members);
    Reply reply;
    reply.is_signed = true;
    reply.request_limit = c.stated;
    limits.OnAnswer(kSettledAt, kSettledAt, Server(), reply);
    limits.SetCold(kSettledAt, Server(), ColdLimit{c.cold, kWarmAt});
    const int64_t sent = SentIn(limits, Millis(10'000));
    CHECK_TEXT(sent <= c.most && sent >= 17, std::to_string(sent).c_str());
  }
}

TEST(ColdRequestLimits, ReportsWhenAServerBecomesColdAndWarm) {
  const FleetMembers members = Settled(1, 0);
  RequestLimits limits(members);
  const Millis now = kSettledAt;
  const auto cold =
      limits.SetCold(now, Server(), ColdLimit{3, now + Millis(500)});
  CHECK(cold && cold->is_cold && cold->remaining == Millis(500));
  CHECK(!limits.SetCold(now, Server(), ColdLimit{3, now + Millis(400)}));
  CHECK(limits.EndOf(Server()) == now + Millis(400));
  CHECK(limits.EndColdLimits(now + Millis(399)).empty());
  CHECK_EQUAL(1, limits.EndColdLimits(now + Millis(400)).size());
  CHECK(limits.empty());
  limits.SetCold(now, Server(), ColdLimit{3, now + Millis(500)});
  const auto warm = limits.SetCold(now, Server(), std::nullopt);
  CHECK(warm && !warm->is_cold);
}
