// Requests whose answer was lost after they may have run.
#include <memory>
#include <string>
#include <variant>

#include "dispatch/dispatcher.h"
#include "dispatch/routing_table.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::AbortCall;
using godwit::dispatch::AttemptAnswered;
using godwit::dispatch::AttemptFailed;
using godwit::dispatch::AttemptFailure;
using godwit::dispatch::Backend;
using godwit::dispatch::BackendsListed;
using godwit::dispatch::CallArrived;
using godwit::dispatch::Dispatcher;
using godwit::dispatch::DispatcherOptions;
using godwit::dispatch::DispatchEvent;
using godwit::dispatch::DrainRequested;
using godwit::dispatch::RefuseCall;
using godwit::dispatch::RelayAnswer;
using godwit::dispatch::RepeatRule;
using godwit::dispatch::Route;
using godwit::dispatch::RoutingTable;
using godwit::dispatch::RoutingTableUpdated;
using godwit::dispatch::StartAttempt;

namespace {

constexpr int64_t kCalls = 9;
constexpr int kOk = 200;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// What became of a request at two servers.
struct Outcome {
  int64_t attempts = 0;
  bool is_refused = false;
  ErrorKind refusal = ErrorKind::kNone;
  bool is_relayed = false;
  bool may_have_run_before = false;
  bool is_aborted = false;
};

// A router with one request to a service.
class OneCall {
 public:
  OneCall(RepeatRule repeat, int64_t servers) {
    Route route;
    route.name = "status";
    route.host = "h";
    route.prefix = "/";
    route.repeat = repeat;
    route.max_attempts = 2;
    route.targets = {{ServiceId("plain"), 1}};
    RoutingTable::Contents contents;
    contents.version = 1;
    contents.revision = godwit::platform::KvVersion(1);
    contents.routes = {route};
    Raise(RoutingTableUpdated{
        std::make_shared<const RoutingTable>(std::move(contents))});
    BackendsListed listed;
    for (int64_t i = 1; i <= servers; ++i) {
      Backend backend;
      backend.instance = "s" + std::to_string(i);
      backend.service = ServiceId("plain");
      backend.address = {"10.0.0.1", static_cast<uint16_t>(i)};
      listed.backends.push_back(backend);
    }
    Raise(listed);
    Arrive(1);
  }

  void Arrive(int64_t id) {
    CallArrived arrived;
    arrived.call = id;
    arrived.request.id = "call-" + std::to_string(id);
    arrived.request.host = "h";
    arrived.request.path = "/x";
    Raise(arrived);
  }

  void Raise(const DispatchEvent& event) {
    for (const auto& command : dispatcher_.Step(Millis(1000), event)) {
      if (std::holds_alternative<StartAttempt>(command)) {
        ++outcome_.attempts;
      } else if (const auto* refusal = std::get_if<RefuseCall>(&command)) {
        outcome_.is_refused = true;
        outcome_.refusal = refusal->kind;
      } else if (const auto* relay = std::get_if<RelayAnswer>(&command)) {
        outcome_.is_relayed = true;
        outcome_.may_have_run_before = relay->may_have_run_before;
      } else if (std::holds_alternative<AbortCall>(command)) {
        outcome_.is_aborted = true;
      }
    }
  }
  void Answer(int64_t attempt, int status, bool not_run, bool complete) {
    AttemptAnswered answered;
    answered.call = 1;
    answered.attempt = attempt;
    answered.reply.status = status;
    answered.reply.not_run = not_run;
    answered.reply.is_signed = true;
    answered.complete = complete;
    Raise(answered);
  }

  const Outcome& outcome() const { return outcome_; }
  size_t open_calls() const { return dispatcher_.open_calls(); }

 private:
  Dispatcher dispatcher_{DispatcherOptions()};
  Outcome outcome_;
};

// The first attempt fails; if there is a second one, it is answered with the
// status and the statement that it has not run.
Outcome Play(RepeatRule repeat, AttemptFailure first, int second) {
  OneCall call(repeat, 2);
  call.Raise(AttemptFailed{1, 1, first});
  call.Answer(2, second, true, true);
  return call.outcome();
}

}  // namespace

TEST_GROUP(LostAnswer){};

TEST(LostAnswer, WorkThatMayHaveRunIsNotRepeatedNorSaidNotToHaveRun) {
  struct Case {
    const char* name;
    RepeatRule repeat;
    AttemptFailure first;
    int second;
    int64_t attempts;
    ErrorKind refusal;
    bool may_have_run_before;
  };
  const std::vector<Case> cases = {
      {"may run once, lost", RepeatRule::kAtMostOnce, AttemptFailure::kLost,
       kUnavailable, 1, ErrorKind::kOutcomeUnknown, false},
      {"may run once, damaged", RepeatRule::kAtMostOnce,
       AttemptFailure::kDamaged, kUnavailable, 1, ErrorKind::kOutcomeUnknown,
       false},
      {"may run once, not sent", RepeatRule::kAtMostOnce,
       AttemptFailure::kNotSent, kConflict, 2, ErrorKind::kNone, false},
      {"lost, then not run", RepeatRule::kIdempotent, AttemptFailure::kLost,
       kUnavailable, 2, ErrorKind::kOutcomeUnknown, false},
      {"lost, then refused by the second server", RepeatRule::kIdempotent,
       AttemptFailure::kLost, kConflict, 2, ErrorKind::kNone, true},
  };
  for (const Case& c : cases) {
    const Outcome outcome = Play(c.repeat, c.first, c.second);
    CHECK_EQUAL_TEXT(c.attempts, outcome.attempts, c.name);
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(outcome.refusal), c.name);
    CHECK_EQUAL_TEXT(c.refusal == ErrorKind::kNone, outcome.is_relayed, c.name);
    CHECK_EQUAL_TEXT(c.may_have_run_before, outcome.may_have_run_before,
                     c.name);
  }
}

TEST(LostAnswer, RefusalThatStatesNothingIsPassedOnAsAPromise) {
  struct Case {
    const char* name;
    RepeatRule repeat;
    int status;
    bool not_run;
    int64_t attempts;
    ErrorKind refusal;
  };
  const std::vector<Case> cases = {
      {"unavailable", RepeatRule::kAtMostOnce, kUnavailable, false, 1,
       ErrorKind::kOutcomeUnknown},
      {"too many requests", RepeatRule::kAtMostOnce, kTooManyRequests, false, 1,
       ErrorKind::kOutcomeUnknown},
      {"timeout of the request", RepeatRule::kAtMostOnce, kRequestTimeout,
       false, 1, ErrorKind::kOutcomeUnknown},
      {"may be repeated", RepeatRule::kIdempotent, kTooManyRequests, false, 2,
       ErrorKind::kNone},
      {"stated", RepeatRule::kAtMostOnce, kUnavailable, true, 2,
       ErrorKind::kNone},
      {"stated by a timeout", RepeatRule::kAtMostOnce, kRequestTimeout, true, 1,
       ErrorKind::kNone},
      {"no promise", RepeatRule::kAtMostOnce, kConflict, false, 1,
       ErrorKind::kNone},
  };
  for (const Case& c : cases) {
    OneCall call(c.repeat, 2);
    call.Answer(1, c.status, c.not_run, true);
    CHECK_EQUAL_TEXT(c.attempts, call.outcome().attempts, c.name);
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(call.outcome().refusal), c.name);
    CHECK_EQUAL_TEXT(c.refusal == ErrorKind::kNone && c.attempts == 1,
                     call.outcome().is_relayed, c.name);
  }
}

// Guards against requests that are cut off without an answer when the router
// ends.
TEST(LostAnswer, RequestsInProgressAreAnsweredWhenTheRouterEnds) {
  OneCall attempting(RepeatRule::kAtMostOnce, 1);
  attempting.Raise(DrainRequested{Millis(2000)});
  CHECK(!attempting.outcome().is_refused);
  attempting.Raise(DrainRequested{Millis(1000)});
  CHECK(attempting.outcome().refusal == ErrorKind::kOutcomeUnknown);
  CHECK_EQUAL(0, attempting.open_calls());

  OneCall relaying(RepeatRule::kAtMostOnce, 1);
  relaying.Answer(1, kOk, false, false);
  relaying.Raise(DrainRequested{Millis(1000)});
  CHECK(relaying.outcome().is_aborted);
  CHECK_EQUAL(0, relaying.open_calls());

  OneCall crowded(RepeatRule::kAtMostOnce, 1);
  for (int64_t call = 2; call <= kCalls; ++call) {
    crowded.Arrive(call);
  }
  CHECK_EQUAL(kCalls, crowded.open_calls());
  CHECK(crowded.outcome().attempts < kCalls);
  crowded.Raise(DrainRequested{Millis(1000)});
  CHECK(crowded.outcome().refusal == ErrorKind::kLeaving);
  CHECK_EQUAL(0, crowded.open_calls());
}
