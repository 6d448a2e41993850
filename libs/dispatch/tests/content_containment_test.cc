#include "dispatch/content_containment.h"

#include <string>
#include <variant>
#include <vector>

#include "dispatch/fleet_members.h"
#include "ledger/peer.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Digest;
using godwit::base::Endpoint;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::dispatch::ClearanceNotice;
using godwit::dispatch::ContainmentNotice;
using godwit::dispatch::ContentContainment;
using godwit::dispatch::ContentKey;
using godwit::dispatch::ContentStateChanged;
using godwit::dispatch::FleetMembers;
using godwit::dispatch::LossNotice;
using godwit::dispatch::LossRetraction;
using godwit::dispatch::SuspectRunNotice;
using Verdict = godwit::dispatch::ContentContainment::Verdict;

namespace {

const Endpoint kPeer = {"10.0.0.2", 7000};
constexpr Millis kLater(1000);

ContentKey Part(uint64_t id, const char* service = "model") {
  return {ServiceId(service), ContentKey::Kind::kPromptPart, Digest(0, id)};
}

ContentKey Request(uint64_t id) {
  return {ServiceId("model"), ContentKey::Kind::kRequest, Digest(0, id)};
}

// A loss of a server, or an answer.
struct Step {
  // Backend::key() of the server; empty for an answer.
  const char* lost;
  int64_t started_at;
  int64_t at;
};

}  // namespace

TEST_GROUP(ContentContainment) {
  void Play(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      if (*step.lost == 0) {
        containment.OnAnswered(Millis(step.at), {Part(1)});
      } else {
        containment.OnLost(Millis(step.at), step.lost, Millis(step.started_at),
                           {Part(1)});
      }
      now = Millis(step.at);
    }
    containment.Tick(now);
    now = now + kLater;
    containment.Tick(now);
  }
  Verdict Judge(uint64_t part = 1) {
    return containment.Judge(now, {Part(part)});
  }
  template <typename Message>
  std::vector<Message> Sent() {
    std::vector<Message> found;
    for (const auto& message : containment.TakeMessages()) {
      if (const auto* m = std::get_if<Message>(&message.message)) {
        found.push_back(*m);
      }
    }
    return found;
  }
  void Contain() {
    Play({{"a", 0, 100}, {"b", 110, 200}, {"c", 210, 300}});
    CHECK(Judge() == Verdict::kContained);
  }

  FleetMembers members{ProcessId("router-1")};
  ContentContainment containment{members};
  Millis now;
};

TEST(ContentContainment, ContainsWhatWasLostWithServersInARow) {
  struct Case {
    const char* name;
    std::vector<Step> steps;
    Verdict expected;
  };
  const std::vector<Case> cases = {
      {"nothing", {}, Verdict::kFree},
      {"two losses", {{"a", 0, 100}, {"b", 110, 200}}, Verdict::kFree},
      {"three losses",
       {{"a", 0, 100}, {"b", 110, 200}, {"c", 210, 300}},
       Verdict::kContained},
      {"one server, lost by several attempts",
       {{"a", 0, 100}, {"a", 50, 100}, {"a", 60, 101}},
       Verdict::kFree},
      {"attempts in progress together",
       {{"a", 0, 100}, {"b", 20, 110}, {"c", 40, 120}, {"d", 60, 130}},
       Verdict::kFree},
      {"many servers, some of them together",
       {{"a", 0, 100}, {"b", 20, 110}, {"c", 110, 200}, {"d", 120, 210}},
       Verdict::kContained},
      {"an answer in between",
       {{"a", 0, 100}, {"b", 110, 200}, {"", 0, 250}, {"c", 210, 300}},
       Verdict::kFree},
      {"answered before",
       {{"", 0, 50}, {"a", 60, 100}, {"b", 110, 200}, {"c", 210, 300}},
       Verdict::kFree},
      {"answered before, five losses",
       {{"", 0, 50},
        {"a", 60, 100},
        {"b", 110, 200},
        {"c", 210, 300},
        {"d", 310, 400},
        {"e", 410, 500}},
       Verdict::kContained},
      {"an answer afterwards",
       {{"a", 0, 100}, {"b", 110, 200}, {"c", 210, 300}, {"", 0, 310}},
       Verdict::kFree},
  };
  for (const Case& c : cases) {
    FleetMembers nobody{ProcessId("router-1")};
    ContentContainment fresh{nobody};
    for (const Step& step : c.steps) {
      if (*step.lost == 0) {
        fresh.OnAnswered(Millis(step.at), {Part(1)});
      } else {
        fresh.OnLost(Millis(step.at), step.lost, Millis(step.started_at),
                     {Part(1)});
      }
    }
    fresh.Tick(Millis(1000));
    fresh.Tick(Millis(2000));
    CHECK_TEXT(fresh.Judge(Millis(2000), {Part(1)}) == c.expected, c.name);
    CHECK_TEXT(fresh.Judge(Millis(2000), {Part(2)}) == Verdict::kFree, c.name);
    CHECK_TEXT(
        fresh.Judge(Millis(2000), {Part(1, "another")}) == Verdict::kFree,
        c.name);
  }
}

TEST(ContentContainment, ContainsRequestsThatWereRepeatedAndLost) {
  struct Case {
    const char* name;
    std::vector<Step> steps;
    // A part of the same requests.
    std::vector<ContentKey> beside;
    Verdict expected;
  };
  const std::vector<Step> three = {
      {"a", 0, 100}, {"b", 110, 200}, {"c", 210, 300}};
  std::vector<Step> four = three;
  four.push_back({"d", 310, 400});
  const std::vector<Case> cases = {
      {"three losses, one after the other", three, {}, Verdict::kFree},
      {"four losses", four, {}, Verdict::kContained},
      {"two of three at once",
       {{"a", 0, 100}, {"b", 20, 110}, {"c", 110, 200}},
       {},
       Verdict::kContained},
      {"lost beside a part with as many losses",
       four,
       {Part(1)},
       Verdict::kFree},
  };
  for (const Case& c : cases) {
    ContentContainment fresh{members};
    for (const Step& step : c.steps) {
      std::vector<ContentKey> contents = c.beside;
      contents.push_back(Request(1));
      fresh.OnLost(Millis(step.at), step.lost, Millis(step.started_at),
                   contents);
    }
    fresh.Tick(Millis(1000));
    fresh.Tick(Millis(2000));
    CHECK_TEXT(fresh.Judge(Millis(2000), {Request(1)}) == c.expected, c.name);
  }
}

TEST(ContentContainment, SuspectedRequestRunsAlone) {
  for (const char* backend : {"a", "b"}) {
    CHECK(!containment.MustRunAlone({Request(1)}));
    now = now + Millis(100);
    containment.OnLost(now, backend, now, {Request(1)});
  }
  CHECK(containment.MustRunAlone({Request(1)}));
  CHECK(containment.IsUndecided(now, {Request(1)}));
  containment.Tick(now);
  CHECK(!containment.IsUndecided(now, {Request(1)}));
  containment.OnAnswered(now, {Request(1)});
  CHECK(!containment.MustRunAlone({Request(1)}));
}

TEST(ContentContainment, SuspectedRequestRunsAtOneRouterAtATime) {
  containment.On(now, SuspectRunNotice{Request(1)});
  CHECK(!containment.IsUndecided(now, {Request(1)}));
  for (const char* backend : {"a", "b"}) {
    containment.OnSent({Request(1)});
    CHECK_EQUAL(0, Sent<SuspectRunNotice>().size());
    now = now + Millis(100);
    containment.OnLost(now, backend, now, {Request(1)});
  }
  containment.Tick(now);
  containment.OnSent({Request(1)});
  CHECK_EQUAL(1, Sent<SuspectRunNotice>().size());
  containment.On(now, SuspectRunNotice{Request(1)});
  CHECK(containment.IsUndecided(now, {Request(1)}));
  CHECK(!containment.IsUndecided(now + kLater, {Request(1)}));
}

TEST(ContentContainment, LossIsRetractedOnceTheServerSendsSomething) {
  Play({{"a", 0, 100}, {"b", 110, 200}});
  containment.OnReceived(Millis(300), "b");
  CHECK_EQUAL(0, Sent<LossRetraction>().size());
  containment.OnReceived(Millis(500), "b");
  CHECK_EQUAL(1, Sent<LossRetraction>().size());
  Play({{"c", 1210, 1300}});
  CHECK(Judge() == Verdict::kFree);
}

TEST(ContentContainment, CountsLossesOfOtherRouters) {
  Play({{"a", 0, 100}});
  containment.On(Millis(205),
                 LossNotice{"b", Millis(5), {{Part(1), Millis(90)}}});
  // Also reported by the other router.
  containment.On(Millis(206),
                 LossNotice{"a", Millis(106), {{Part(1), Millis(10)}}});
  now = Millis(300);
  containment.Tick(now);
  CHECK(Judge() == Verdict::kFree);
  containment.On(Millis(310),
                 LossNotice{"c", Millis(5), {{Part(1), Millis(90)}}});
  containment.Tick(Millis(320));
  CHECK_EQUAL(1, Sent<ContainmentNotice>().size());
  now = Millis(400);
  containment.Tick(now);
  CHECK(Judge() == Verdict::kContained);
}

TEST(ContentContainment, RouterThatAnsweredAContentObjects) {
  containment.OnAnswered(Millis(100), {Part(1)});
  containment.On(
      Millis(900), kPeer,
      {Part(1), Millis(700), Millis(100), 3, Millis(60'000), Millis(60'000)});
  now = Millis(1000);
  containment.Tick(now);
  CHECK(Judge() == Verdict::kFree);
  const auto objections = Sent<ClearanceNotice>();
  CHECK_EQUAL(1, objections.size());
  CHECK(!objections.front().is_broadcast);
  CHECK(objections.front().age == Millis(800));
}

TEST(ContentContainment, ObjectionEndsTheContainmentAndIsPassedOn) {
  Contain();
  Sent<ClearanceNotice>();
  containment.On(now, ClearanceNotice{Part(1), Millis(10'000), false});
  CHECK(Judge() == Verdict::kFree);
  const auto passed_on = Sent<ClearanceNotice>();
  CHECK_EQUAL(1, passed_on.size());
  CHECK(passed_on.front().is_broadcast);
}

TEST(ContentContainment, AdoptsTheContainmentOfAnotherRouter) {
  containment.On(Millis(1000), kPeer,
                 {Part(1), Millis(700), Millis(100), 3, Millis(50'000),
                  Millis(60'000), true});
  now = Millis(1100);
  containment.Tick(now);
  CHECK(Judge() == Verdict::kContained);
  CHECK_EQUAL(1, containment.TakeContained().size());
  CHECK(containment.RemainingTime(now, {Part(1)}) == Millis(49'900));
}

TEST(ContentContainment, RequestsWaitUntilAnotherRouterConfirms) {
  now = Millis(1000);
  containment.On(now, kPeer,
                 {Part(1), Millis(700), Millis(100), 3, Millis(50'000),
                  Millis(60'000), false});
  CHECK(containment.IsUndecided(now, {Part(1)}));
  now = now + kLater;
  containment.Tick(now);
  CHECK(!containment.IsUndecided(now, {Part(1)}));
  CHECK(Judge() == Verdict::kFree);
}

TEST(ContentContainment, OneRequestIsTriedAtATimeAndLaterEachTime) {
  Contain();
  for (const Millis period : {Millis(60'000), Millis(120'000)}) {
    now = now + period;
    CHECK(Judge() == Verdict::kTrial);
    CHECK(Judge() == Verdict::kContained);
    CHECK(containment.RemainingTime(now, {Part(1)}) == period * 2);
  }
  containment.OnAnswered(now, {Part(1)});
  CHECK(Judge() == Verdict::kFree);
}

TEST(ContentContainment, RequestWithoutTheOtherSuspectIsTriedAtOnce) {
  for (const Step& step :
       std::vector<Step>{{"a", 0, 100}, {"b", 110, 200}, {"c", 210, 300}}) {
    containment.OnLost(Millis(step.at), step.lost, Millis(step.started_at),
                       {Part(1), Part(2)});
  }
  containment.Tick(Millis(310));
  now = Millis(400);
  containment.Tick(now);
  CHECK(containment.Judge(now, {Part(1), Part(2)}) == Verdict::kContained);
  CHECK(Judge(1) == Verdict::kTrial);
  CHECK(Judge(1) == Verdict::kContained);
  containment.OnAnswered(now, {Part(1)});
  CHECK(Judge(1) == Verdict::kFree);
  CHECK(Judge(2) == Verdict::kContained);
}

TEST(ContentContainment, OtherRoutersAreToldAgainWhatIsContained) {
  members.SetListed(Millis(0), {{ProcessId("router-1"), {}, {"10.0.0.1", 7000}},
                                {ProcessId("router-2"), {}, kPeer}});
  Contain();
  Sent<ContainmentNotice>();
  for (int i = 0; i < 3; ++i) {
    now = now + Millis(1000);
    containment.Tick(now);
    CHECK_EQUAL(1, Sent<ContainmentNotice>().size());
  }
}

TEST(ContentContainment, RecordsItsDecisions) {
  Play({{"a", 0, 100}, {"b", 110, 200}});
  Play({{"c", 1210, 1300}});
  containment.OnAnswered(now, {Part(1)});
  std::vector<ContentStateChanged::State> states;
  for (const ContentStateChanged& change : containment.TakeChanges()) {
    states.push_back(change.state);
  }
  using State = ContentStateChanged::State;
  CHECK(states == (std::vector<State>{State::kSuspected, State::kContained,
                                      State::kCleared}));
}
