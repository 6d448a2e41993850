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
using godwit::dispatch::AttemptAnswered;
using godwit::dispatch::AttemptFailed;
using godwit::dispatch::AttemptFailure;
using godwit::dispatch::Backend;
using godwit::dispatch::BackendsListed;
using godwit::dispatch::CallArrived;
using godwit::dispatch::Dispatcher;
using godwit::dispatch::DispatcherOptions;
using godwit::dispatch::DispatchEvent;
using godwit::dispatch::RefuseCall;
using godwit::dispatch::RelayAnswer;
using godwit::dispatch::RepeatRule;
using godwit::dispatch::Route;
using godwit::dispatch::RoutingTable;
using godwit::dispatch::RoutingTableUpdated;
using godwit::dispatch::StartAttempt;

namespace {

constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// What became of a request at two servers.
struct Outcome {
  int64_t attempts = 0;
  bool is_refused = false;
  ErrorKind refusal = ErrorKind::kNone;
  bool is_relayed = false;
  bool may_have_run_before = false;
};

// The first attempt fails; if there is a second one, it is answered with the
// status and the statement that it has not run.
Outcome Play(RepeatRule repeat, AttemptFailure first, int second) {
  Dispatcher dispatcher{DispatcherOptions()};
  Outcome outcome;
  const auto raise = [&](const DispatchEvent& event) {
    for (const auto& command : dispatcher.Step(Millis(1000), event)) {
      if (std::holds_alternative<StartAttempt>(command)) {
        ++outcome.attempts;
      } else if (const auto* refusal = std::get_if<RefuseCall>(&command)) {
        outcome.is_refused = true;
        outcome.refusal = refusal->kind;
      } else if (const auto* relay = std::get_if<RelayAnswer>(&command)) {
        outcome.is_relayed = true;
        outcome.may_have_run_before = relay->may_have_run_before;
      }
    }
  };
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
  raise(RoutingTableUpdated{
      std::make_shared<const RoutingTable>(std::move(contents))});
  BackendsListed listed;
  for (const char* instance : {"s1", "s2"}) {
    Backend backend;
    backend.instance = instance;
    backend.service = ServiceId("plain");
    backend.address = {"10.0.0.1", static_cast<uint16_t>(instance[1])};
    listed.backends.push_back(backend);
  }
  raise(listed);
  CallArrived arrived;
  arrived.call = 1;
  arrived.request.id = "call-1";
  arrived.request.host = "h";
  arrived.request.path = "/x";
  raise(arrived);
  raise(AttemptFailed{1, 1, first});
  AttemptAnswered answered;
  answered.call = 1;
  answered.attempt = 2;
  answered.reply.status = second;
  answered.reply.not_run = true;
  answered.complete = true;
  raise(answered);
  return outcome;
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
