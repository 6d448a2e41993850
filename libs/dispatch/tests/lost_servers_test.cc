// Losses of connections to servers that may not have crashed.
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "../src/connection_losses.h"
#include "dispatch/content_containment.h"
#include "dispatch/fleet_members.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Digest;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::dispatch::ConnectionLosses;
using godwit::dispatch::ContentContainment;
using godwit::dispatch::ContentKey;
using godwit::dispatch::FleetMembers;
using godwit::dispatch::LossNotice;
using godwit::dispatch::LossRetraction;
using Verdict = godwit::dispatch::ContentContainment::Verdict;

namespace {

constexpr Millis kLastLoss(300);
const std::vector<std::string>& Servers() {
  static const std::vector<std::string> servers = {"a", "b", "c"};
  return servers;
}

ContentKey Part(uint64_t id) {
  return {ServiceId("model"), ContentKey::Kind::kPromptPart, Digest(0, id)};
}

// Loses connections to three servers, 100 ms apart.
void LoseConnections(ContentContainment& containment) {
  Millis at;
  for (const std::string& server : Servers()) {
    const Millis started_at = at + Millis(10);
    at = at + Millis(100);
    containment.OnLost(at, server, started_at, {Part(1)},
                       ContentContainment::LossKind::kConnection);
  }
}

}  // namespace

TEST_GROUP(LostServers) {
  FleetMembers members{ProcessId("router-1")};
};

TEST(LostServers, ContainmentWaitsForServersThatMayLiveOn) {
  using Step = std::function<void(ContentContainment&)>;
  struct Case {
    const char* name;
    // Happens 20 ms after the last loss.
    Step step;
    // 80 ms after the last loss, and long after it.
    bool is_undecided;
    Verdict soon;
    Verdict later;
  };
  const Millis then = kLastLoss + Millis(20);
  const auto for_all = [](const std::function<void(ContentContainment&,
                                                   const std::string&)>& step) {
    return [step](ContentContainment& containment) {
      for (const std::string& server : Servers()) {
        step(containment, server);
      }
    };
  };
  const std::vector<Case> cases = {
      {"nothing more is heard", [](ContentContainment& /*c*/) {}, true,
       Verdict::kFree, Verdict::kContained},
      {"a server answers a request that was sent after the loss",
       [then](ContentContainment& c) {
         c.OnReceived(then, "b", then - Millis(1));
       },
       false, Verdict::kFree, Verdict::kFree},
      {"a server's answer may have been sent before the loss",
       [then](ContentContainment& c) { c.OnReceived(then, "b", Millis(150)); },
       true, Verdict::kFree, Verdict::kContained},
      {"another router heard of a server",
       [then](ContentContainment& c) { c.On(then, LossRetraction{"c"}); },
       false, Verdict::kFree, Verdict::kFree},
      {"all servers have crashed",
       for_all([then](ContentContainment& c, const std::string& server) {
         c.OnCrashed(then, server);
       }),
       false, Verdict::kContained, Verdict::kContained},
      {"all servers refuse connections",
       for_all([then](ContentContainment& c, const std::string& server) {
         c.OnRefused(then, server, then - Millis(2));
       }),
       false, Verdict::kContained, Verdict::kContained},
      {"connections from before the losses are refused",
       for_all([then](ContentContainment& c, const std::string& server) {
         c.OnRefused(then, server, Millis(20));
       }),
       true, Verdict::kFree, Verdict::kContained},
      {"another router knows of the crashes",
       for_all([then](ContentContainment& c, const std::string& server) {
         c.On(then, LossNotice{server, Millis(20), {}, false});
       }),
       false, Verdict::kContained, Verdict::kContained},
  };
  for (const Case& c : cases) {
    ContentContainment containment{members};
    LoseConnections(containment);
    containment.Tick(kLastLoss);
    CHECK_TEXT(containment.IsUndecided(kLastLoss, {Part(1)}), c.name);
    CHECK_TEXT(!containment.IsUndecided(kLastLoss, {Part(2)}), c.name);
    c.step(containment);
    for (const int64_t delay : {25, 50, 75}) {
      containment.Tick(kLastLoss + Millis(delay));
    }
    const Millis soon = kLastLoss + Millis(80);
    CHECK_TEXT(containment.IsUndecided(soon, {Part(1)}) == c.is_undecided,
               c.name);
    CHECK_TEXT(containment.Judge(soon, {Part(1)}) == c.soon, c.name);
    containment.Tick(kLastLoss + Millis(325));
    containment.Tick(kLastLoss + Millis(350));
    const Millis later = kLastLoss + Millis(350);
    CHECK_TEXT(!containment.IsUndecided(later, {Part(1)}), c.name);
    CHECK_TEXT(containment.Judge(later, {Part(1)}) == c.later, c.name);
  }
}

// Guards against records of suspicions at servers that live on.
TEST(LostServers, SuspicionIsRecordedOnceTheLossesAreSettled) {
  for (const bool lives_on : {false, true}) {
    ContentContainment containment{members};
    for (const int64_t at : {100, 200}) {
      containment.OnLost(Millis(at), "server-" + std::to_string(at),
                         Millis(at - 50), {Part(1)},
                         ContentContainment::LossKind::kConnection);
    }
    containment.Tick(Millis(210));
    CHECK_EQUAL(0, containment.TakeChanges().size());
    CHECK(!containment.IsUndecided(Millis(210), {Part(1)}));
    if (lives_on) {
      containment.OnReceived(Millis(300), "server-200", Millis(250));
    }
    for (const int64_t at : {410, 510}) {
      containment.Tick(Millis(at));
    }
    size_t suspicions = 0;
    for (const auto& change : containment.TakeChanges()) {
      using State = godwit::dispatch::ContentStateChanged::State;
      suspicions += change.state == State::kSuspected ? 1 : 0;
    }
    CHECK_EQUAL(lives_on ? 0 : 1, suspicions);
  }
}

TEST(LostServers, LossesOfAllConnectionsAtOnceAreThoseOfACrash) {
  struct Loss {
    int64_t at;
    const char* backend;
    int64_t in_progress;
    bool expected;
  };
  struct Case {
    const char* name;
    std::vector<Loss> losses;
  };
  const std::vector<Case> cases = {
      {"the only connection", {{0, "a", 0, false}}},
      {"all of several",
       {{0, "a", 2, false}, {1, "a", 1, false}, {1, "a", 0, true}}},
      {"some go on", {{0, "a", 2, false}, {0, "a", 1, false}}},
      {"at different times", {{0, "a", 1, false}, {50, "a", 0, false}}},
      {"of different servers", {{0, "a", 0, false}, {0, "b", 0, false}}},
  };
  for (const Case& c : cases) {
    ConnectionLosses losses;
    for (const Loss& loss : c.losses) {
      CHECK_TEXT(losses.OnLost(Millis(loss.at), loss.backend,
                               loss.in_progress) == loss.expected,
                 c.name);
    }
  }
}
