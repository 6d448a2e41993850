#include "dispatch/dispatcher.h"

#include <functional>
#include <string>
#include <vector>

#include "dispatch_world.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::dispatch::CallId;
using godwit::dispatch::DispatchWorld;
using godwit::dispatch::ModelServer;
using Fault = ModelServer::Fault;

namespace {

constexpr int kCalls = 1000;

std::vector<ModelServer::Options> Plain(size_t count, int64_t slots = 6) {
  ModelServer::Options options;
  options.service = "plain";
  options.slots = slots;
  return std::vector<ModelServer::Options>(count, options);
}

std::vector<ModelServer::Options> Models(size_t count) {
  return std::vector<ModelServer::Options>(count, ModelServer::Options());
}

size_t Runs(DispatchWorld& world) {
  size_t runs = 0;
  for (size_t i = 0; i < world.servers(); ++i) {
    runs += world.server(i).ran().size();
  }
  return runs;
}

}  // namespace

TEST_GROUP(Dispatcher){};

TEST(Dispatcher, TellsWhatBecameOfARequest) {
  struct Case {
    const char* name;
    const char* route;
    // Of the first server; the second is sound.
    Fault fault;
    bool answered;
    ErrorKind refusal;
    int64_t sends;
    size_t runs;
  };
  const std::vector<Case> cases = {
      {"sound", "order", Fault::kNone, true, ErrorKind::kNone, 1, 1},
      {"not reached, tried elsewhere", "order", Fault::kDown, true,
       ErrorKind::kNone, 2, 1},
      {"rejected as full, tried elsewhere", "order", Fault::kSheds, true,
       ErrorKind::kNone, 2, 1},
      {"address taken over, tried elsewhere", "order", Fault::kReplaced, true,
       ErrorKind::kNone, 2, 1},
      {"silent: may have run, so not again", "order", Fault::kDark, false,
       ErrorKind::kDeadlineExceeded, 1, 0},
      {"silent, but may run again", "status", Fault::kDark, true,
       ErrorKind::kNone, 2, 1},
  };
  for (const Case& c : cases) {
    DispatchWorld world({}, Plain(2));
    world.server(0).Set(c.fault);
    // Calls go to either server; one that met the fault is looked at.
    CallId met = 0;
    for (int i = 0; i < 4; ++i) {
      const CallId call = world.Arrive(c.route);
      world.Advance(Millis(1500));
      const auto& outcome = world.outcome(call);
      if (outcome.sends == c.sends &&
          (c.fault == Fault::kNone || !outcome.answered || c.sends > 1)) {
        met = call;
        break;
      }
    }
    CHECK_TEXT(met != 0, c.name);
    const auto& outcome = world.outcome(met);
    CHECK_TEXT(outcome.over, c.name);
    CHECK_EQUAL_TEXT(c.answered, outcome.answered, c.name);
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(outcome.refusal), c.name);
  }
}

TEST(Dispatcher, RunsAtMostOnceWhateverTheServersDo) {
  for (const Fault fault : {Fault::kNone, Fault::kDark, Fault::kDown,
                            Fault::kFails, Fault::kSheds, Fault::kReplaced}) {
    DispatchWorld world({}, Plain(4));
    for (int i = 0; i < 100; ++i) {
      if (i == 20) {
        world.server(0).Set(fault);
      }
      if (i == 50) {
        for (const auto& event : world.server(1).Crash()) {
          static_cast<void>(event);
        }
      }
      world.Arrive("order");
      world.Advance(Millis(20));
    }
    world.Advance(Millis(3000));
    int64_t not_run = 0;
    for (const auto& [call, outcome] : world.outcomes()) {
      CHECK(outcome.over);
      const bool says_not_run = outcome.refusal == ErrorKind::kOverloaded ||
                                outcome.refusal == ErrorKind::kUnavailable;
      not_run += says_not_run ? 1 : 0;
    }
    // Each call ran once at most, and those refused as not run did not.
    CHECK(Runs(world) <= 100 - static_cast<size_t>(not_run));
  }
}

TEST(Dispatcher, RefusesBeforeAServerIsAsked) {
  struct Case {
    const char* name;
    const char* route;
    bool needs_key;
    const char* key;
    ErrorKind refusal;
  };
  const std::vector<Case> cases = {
      {"no route", "nowhere", false, "key", ErrorKind::kNotFound},
      {"unknown key", "order", true, "other", ErrorKind::kUnauthenticated},
      {"known key", "order", true, "key", ErrorKind::kNone},
  };
  for (const Case& c : cases) {
    DispatchWorld::Options options;
    options.needs_key = c.needs_key;
    options.organisations = {
        {godwit::base::OrganisationId("lantern-line"), {c.key}, {}, {}}};
    DispatchWorld world(options, Plain(2));
    const CallId call = world.Arrive(c.route);
    world.Advance(Millis(500));
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(world.outcome(call).refusal), c.name);
    CHECK_EQUAL_TEXT(c.refusal == ErrorKind::kNone, Runs(world) == 1, c.name);
  }
}

TEST(Dispatcher, EndsEachRequestByItsDeadline) {
  DispatchWorld world({}, Plain(1));
  world.server(0).Set(Fault::kDark);
  const CallId call = world.Arrive("order");
  world.Advance(Millis(2000));
  const auto& outcome = world.outcome(call);
  CHECK(outcome.over);
  // The route allows 800 ms; the answer is due within half a second of it.
  CHECK(outcome.ended_at - outcome.arrived_at <= Millis(1300));
}

TEST(Dispatcher, ResumesAStreamThatMayBeResumed) {
  struct Case {
    const char* route;
    bool answered;
    bool broken_off;
  };
  for (const Case& c :
       {Case{"summary", true, false}, Case{"chat", false, true}}) {
    DispatchWorld world({}, Models(2));
    const CallId call = world.Arrive(c.route, 100, 400, 7, 20);
    world.Advance(Millis(200));
    const size_t index = world.server(0).running() > 0 ? 0 : 1;
    CHECK(world.server(index).running() == 1);
    const auto attempt = *world.server(index).ran().begin();
    world.server(index).Crash();
    world.Raise(godwit::dispatch::AttemptFailed{
        call, attempt, godwit::dispatch::AttemptFailure::kLost});
    world.Advance(Millis(2000));
    CHECK_EQUAL_TEXT(c.answered, world.outcome(call).answered, c.route);
    CHECK_EQUAL_TEXT(c.broken_off, world.outcome(call).broken_off, c.route);
  }
}

TEST(Dispatcher, StopsTheServerWhenTheCallerLeaves) {
  DispatchWorld world({}, Models(1));
  const CallId call = world.Arrive("chat", 100, 400, 7, 200);
  world.Advance(Millis(200));
  CHECK_EQUAL(1, world.server(0).running());
  world.Leave(call);
  CHECK_EQUAL(0, world.server(0).running());
  CHECK(world.outcome(call).over);
}

TEST(Dispatcher, SendsNothingToServersThatLeave) {
  using Change = std::function<void(DispatchWorld&)>;
  const std::vector<Change> changes = {
      [](DispatchWorld& world) {
        auto backend = world.server(0).Registration();
        backend.draining = true;
        world.Raise(godwit::dispatch::BackendSeen{backend});
      },
      [](DispatchWorld& world) {
        world.Raise(godwit::dispatch::BackendRemoved{"s0"});
      }};
  for (const Change& change : changes) {
    DispatchWorld world({}, Plain(2));
    change(world);
    for (int i = 0; i < 10; ++i) {
      world.Arrive("order");
      world.Advance(Millis(100));
    }
    CHECK_EQUAL(0, world.server(0).ran().size());
    CHECK_EQUAL(10, world.server(1).ran().size());
  }
}

TEST(Dispatcher, KeepsLapsedServersUntilTheyHadTimeToRegister) {
  DispatchWorld world({}, Plain(1));
  world.Raise(godwit::dispatch::StoreReached{false});
  world.Advance(Millis(3000));
  world.Raise(godwit::dispatch::StoreReached{true});
  world.Raise(godwit::dispatch::BackendsListed{});
  const CallId soon = world.Arrive("order");
  world.Advance(Millis(500));
  CHECK(world.outcome(soon).answered);
  world.Advance(Millis(2500));
  const CallId later = world.Arrive("order");
  world.Advance(Millis(100));
  CHECK_EQUAL(static_cast<int>(ErrorKind::kUnavailable),
              static_cast<int>(world.outcome(later).refusal));
}

TEST(Dispatcher, BoundsRetries) {
  DispatchWorld world({}, Plain(4));
  for (size_t i = 0; i < 4; ++i) {
    world.server(i).Set(Fault::kSheds);
  }
  int64_t arrivals = 0;
  for (int i = 0; i < kCalls; ++i) {
    world.Arrive("status");
    world.Advance(Millis(5));
  }
  world.Advance(Millis(2000));
  for (const auto& [call, outcome] : world.outcomes()) {
    arrivals += outcome.sends;
  }
  // A fifth of the requests and a slack of 50, for a single router.
  CHECK(arrivals - kCalls <= kCalls / 5 + 50);
}

TEST(Dispatcher, BillsAFailureThatIsHandedOn) {
  DispatchWorld world({}, Models(1));
  const CallId call = world.Arrive("chat", 100, 400, 7, 5);
  const auto attempt = *world.server(0).ran().begin();
  godwit::dispatch::AttemptAnswered answered;
  answered.call = call;
  answered.attempt = attempt;
  answered.reply.status = 500;
  answered.reply.is_signed = true;
  answered.whole = true;
  world.Raise(answered);
  CHECK(world.outcome(call).over);
  CHECK(world.outcome(call).may_have_run);
}
