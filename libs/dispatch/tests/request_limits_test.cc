#include "dispatch/request_limits.h"

#include <string>
#include <vector>

#include "dispatch/fleet_members.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::FleetMembers;
using godwit::dispatch::Reply;
using godwit::dispatch::RequestLimits;

namespace {

constexpr double kNone = -1;

Backend Server(const char* instance, int64_t started_at = 1) {
  Backend backend;
  backend.instance = instance;
  backend.started_at_ms = started_at;
  backend.service = ServiceId("model");
  return backend;
}

Reply Answer(double limit) {
  Reply reply;
  reply.status = 200;
  reply.is_signed = true;
  if (limit >= 0) {
    reply.request_limit = limit;
  }
  return reply;
}

}  // namespace

TEST_GROUP(RequestLimits){};

TEST(RequestLimits, ReportsChangesOfAServersLimit) {
  struct Step {
    const char* name;
    int64_t at;
    int64_t sent_at;
    double limit;
    bool is_change;
    double previous;
  };
  const std::vector<Step> steps = {
      {"no limit", 100, 50, kNone, false, kNone},
      {"first limit", 200, 150, 2, true, kNone},
      {"confirmed", 300, 250, 2, false, kNone},
      {"sent before it was confirmed", 310, 260, kNone, false, kNone},
      {"lower", 400, 350, 1.5, true, 2},
      {"ended", 500, 450, kNone, true, 1.5},
      {"still none", 600, 550, kNone, false, kNone},
      {"again", 700, 650, 3, true, kNone},
  };
  const FleetMembers members(ProcessId("r1"));
  RequestLimits limits(members);
  for (const Step& step : steps) {
    const auto change = limits.OnAnswer(Millis(step.at), Millis(step.sent_at),
                                        Server("s1"), Answer(step.limit));
    CHECK_EQUAL_TEXT(step.is_change, change.has_value(), step.name);
    if (change) {
      DOUBLES_EQUAL_TEXT(step.limit, change->limit.value_or(kNone), 0,
                         step.name);
      DOUBLES_EQUAL_TEXT(step.previous, change->previous.value_or(kNone), 0,
                         step.name);
    }
  }
}

TEST(RequestLimits, AnswersThatSayNothingOfTheServersLimit) {
  Reply mismatch = Answer(kNone);
  mismatch.instance_mismatch = true;
  Reply unsigned_answer = Answer(kNone);
  unsigned_answer.is_signed = false;
  Reply unreadable = Answer(kNone);
  unreadable.has_invalid_limit = true;
  struct Case {
    const char* name;
    Reply reply;
    bool is_reported;
  };
  const std::vector<Case> cases = {{"of another server", mismatch, false},
                                   {"unsigned", unsigned_answer, false},
                                   {"unreadable", unreadable, true}};
  for (const Case& c : cases) {
    const FleetMembers members(ProcessId("r1"));
    RequestLimits limits(members);
    limits.OnAnswer(Millis(100), Millis(50), Server("s1"), Answer(2));
    const auto change =
        limits.OnAnswer(Millis(200), Millis(150), Server("s1"), c.reply);
    CHECK_EQUAL_TEXT(c.is_reported, change.has_value(), c.name);
    // The limit stays, so that stating it again is no change.
    CHECK_TEXT(
        !limits.OnAnswer(Millis(300), Millis(250), Server("s1"), Answer(2)),
        c.name);
  }
}

TEST(RequestLimits, ALimitEndsWithTheServersIncarnation) {
  const FleetMembers members(ProcessId("r1"));
  RequestLimits limits(members);
  limits.OnAnswer(Millis(100), Millis(50), Server("s1", 1), Answer(2));
  const auto change =
      limits.OnAnswer(Millis(200), Millis(150), Server("s1", 2), Answer(2));
  CHECK(change.has_value());
  CHECK(!change->previous.has_value());
}
