#include "dispatch/cold_periods.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/routing_table.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::ColdPeriods;
using godwit::dispatch::Reply;
using godwit::dispatch::RoutingTable;
using godwit::dispatch::ServiceProfile;

namespace {

constexpr int64_t kNotStated = -1;
constexpr int64_t kInvalid = -2;

std::shared_ptr<const RoutingTable> Table(int64_t cold_start_ms) {
  ServiceProfile service;
  service.id = ServiceId("model");
  service.cold_start = Millis(cold_start_ms);
  service.cold_rate = 7;
  RoutingTable::Contents contents;
  contents.services = {service};
  return std::make_shared<const RoutingTable>(std::move(contents));
}

Backend Server(int64_t cold_ms) {
  Backend backend;
  backend.instance = "s1";
  backend.started_at_ms = 1;
  backend.service = ServiceId("model");
  if (cold_ms >= 0) {
    backend.cold_remaining = Millis(cold_ms);
  }
  backend.has_invalid_cold_remaining = cold_ms == kInvalid;
  return backend;
}

Reply Answer(int64_t cold_ms, bool is_signed) {
  Reply reply;
  reply.is_signed = is_signed;
  reply.cold_remaining = Millis(cold_ms);
  return reply;
}

}  // namespace

TEST_GROUP(ColdPeriods){};

// Each case is a server that would get full load while it is cold, or be
// limited while it is warm.
TEST(ColdPeriods, AServerIsColdUntilWhatItLastStated) {
  enum class Kind {
    kFirstList,
    kList,
    kRegistration,
    kAnswer,
    kUnsigned,
    kResumed
  };
  struct Step {
    Kind kind;
    int64_t at;
    int64_t cold_ms;
  };
  struct Case {
    const char* name;
    int64_t cold_start_ms;
    std::vector<Step> steps;
    // 0 if the server is not cold after the last step.
    int64_t until;
  };
  const std::vector<Case> cases = {
      {"stated", 5000, {{Kind::kRegistration, 1000, 3000}}, 4000},
      {"service without cold starts",
       0,
       {{Kind::kRegistration, 1000, 3000}},
       0},
      {"new and not stated",
       5000,
       {{Kind::kRegistration, 1000, kNotStated}},
       6000},
      {"new in a later list", 5000, {{Kind::kList, 1000, kNotStated}}, 6000},
      {"in the first list and not stated",
       5000,
       {{Kind::kFirstList, 1000, kNotStated}},
       0},
      {"in the first list and stated",
       5000,
       {{Kind::kFirstList, 1000, 800}},
       1800},
      {"invalid", 5000, {{Kind::kRegistration, 1000, kInvalid}}, 6000},
      {"stated as warm", 5000, {{Kind::kRegistration, 1000, 0}}, 0},
      {"later and shorter",
       5000,
       {{Kind::kRegistration, 1000, 3000}, {Kind::kRegistration, 1500, 700}},
       2200},
      {"not repeated",
       5000,
       {{Kind::kRegistration, 1000, 3000},
        {Kind::kRegistration, 1500, kNotStated}},
       4000},
      {"ended",
       5000,
       {{Kind::kRegistration, 1000, 3000}, {Kind::kRegistration, 1500, 0}},
       0},
      {"cold again",
       5000,
       {{Kind::kRegistration, 1000, 0}, {Kind::kRegistration, 9000, 2000}},
       11'000},
      {"answer",
       5000,
       {{Kind::kRegistration, 1000, 0}, {Kind::kAnswer, 2000, 900}},
       2900},
      {"shorter in an answer",
       5000,
       {{Kind::kRegistration, 1000, 3000}, {Kind::kAnswer, 2000, 100}},
       2100},
      {"shorter in an unsigned answer",
       5000,
       {{Kind::kRegistration, 1000, 3000}, {Kind::kUnsigned, 2000, 100}},
       4000},
      // It was written before the answer.
      {"registration read late",
       5000,
       {{Kind::kRegistration, 1000, 0},
        {Kind::kAnswer, 9000, 3000},
        {Kind::kRegistration, 10'000, 0}},
       12'000},
      {"resumed after an evacuation",
       5000,
       {{Kind::kFirstList, 1000, 0}, {Kind::kResumed, 9000, 0}},
       14'000},
      {"stated after an evacuation",
       5000,
       {{Kind::kFirstList, 1000, 0},
        {Kind::kResumed, 9000, 0},
        {Kind::kRegistration, 9100, 0}},
       0},
      {"stated in an answer after an evacuation",
       5000,
       {{Kind::kFirstList, 1000, 0},
        {Kind::kResumed, 9000, 0},
        {Kind::kAnswer, 9100, 0}},
       14'000},
  };
  for (const Case& c : cases) {
    ColdPeriods periods;
    periods.SetConfiguration(Table(c.cold_start_ms));
    if (c.steps.front().kind != Kind::kFirstList) {
      periods.OnListed(Millis(100), {});
    }
    for (const Step& step : c.steps) {
      const Backend server = Server(step.cold_ms);
      switch (step.kind) {
        case Kind::kFirstList:
        case Kind::kList:
          periods.OnListed(Millis(step.at), {server});
          break;
        case Kind::kRegistration:
          periods.OnRegistered(Millis(step.at), server);
          break;
        case Kind::kAnswer:
        case Kind::kUnsigned:
          periods.OnAnswer(Millis(step.at), server,
                           Answer(step.cold_ms, step.kind == Kind::kAnswer));
          break;
        case Kind::kResumed:
          periods.OnResumed(Millis(step.at), server);
          break;
      }
    }
    const auto limit =
        periods.LimitOf(Millis(c.steps.back().at), Server(kNotStated));
    CHECK_EQUAL_TEXT(c.until, limit ? limit->until.count() : 0, c.name);
    if (limit) {
      DOUBLES_EQUAL_TEXT(7, limit->rate, 0, c.name);
    }
  }
}

// A log line for each registration that is written every second.
TEST(ColdPeriods, ReportsAnInvalidStatementOnceForEachIncarnation) {
  ColdPeriods periods;
  CHECK_EQUAL(1, periods.OnListed(Millis(100), {Server(kInvalid)}).size());
  CHECK(!periods.OnRegistered(Millis(1300), Server(kInvalid)));
  Reply reply;
  reply.has_invalid_cold_remaining = true;
  CHECK(!periods.OnAnswer(Millis(1400), Server(kNotStated), reply));
  Backend restarted = Server(kInvalid);
  restarted.started_at_ms = 2;
  CHECK(periods.OnRegistered(Millis(2500), restarted));
}

// All servers are limited after an outage of the store, in which their
// registrations lapsed.
TEST(ColdPeriods, AnIncarnationThatRegistersAgainIsNotNew) {
  ColdPeriods periods;
  periods.SetConfiguration(Table(5000));
  periods.OnListed(Millis(100), {Server(kNotStated)});
  periods.Retain(Millis(1000), {});
  periods.OnRegistered(Millis(20'000), Server(kNotStated));
  CHECK(!periods.LimitOf(Millis(20'000), Server(kNotStated)));
}
