#include "dispatch/dispatcher.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "dispatch_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::dispatch::BackendHealthChanged;
using godwit::dispatch::CallId;
using godwit::dispatch::DispatchSimulation;
using godwit::dispatch::ModelServer;
using Fault = ModelServer::Fault;

namespace {

std::vector<ModelServer::Options> Plain(size_t count, int64_t slots = 6) {
  ModelServer::Options options;
  options.service = "plain";
  options.slots = slots;
  return std::vector<ModelServer::Options>(count, options);
}

std::vector<ModelServer::Options> Models(size_t count) {
  return std::vector<ModelServer::Options>(count, ModelServer::Options());
}

size_t Runs(DispatchSimulation& simulation) {
  size_t runs = 0;
  for (size_t i = 0; i < simulation.servers(); ++i) {
    runs += simulation.server(i).ran().size();
  }
  return runs;
}

}  // namespace

TEST_GROUP(Dispatcher){};

TEST(Dispatcher, ReportsTheOutcomeOfARequest) {
  struct Case {
    const char* name;
    const char* route;
    // Injected into the first server; the second is healthy.
    Fault fault;
    bool answered;
    ErrorKind refusal;
    int64_t attempts_sent;
    size_t runs;
  };
  const std::vector<Case> cases = {
      {"healthy", "order", Fault::kNone, true, ErrorKind::kNone, 1, 1},
      {"connection refused, retried elsewhere", "order",
       Fault::kRefusesConnections, true, ErrorKind::kNone, 2, 1},
      {"rejected as full, retried elsewhere", "order", Fault::kRejectsAll, true,
       ErrorKind::kNone, 2, 1},
      {"address taken over, retried elsewhere", "order", Fault::kReplaced, true,
       ErrorKind::kNone, 2, 1},
      {"unresponsive: may have run, so not retried", "order",
       Fault::kUnresponsive, false, ErrorKind::kDeadlineExceeded, 1, 0},
      {"unresponsive, but may be retried", "status", Fault::kUnresponsive, true,
       ErrorKind::kNone, 2, 1},
  };
  for (const Case& c : cases) {
    DispatchSimulation simulation({}, Plain(2));
    simulation.server(0).SetFault(c.fault);
    // Calls go to either server; the first one that reached the faulty server
    // is checked.
    CallId faulty_call = 0;
    for (int i = 0; i < 4; ++i) {
      const CallId call = simulation.Arrive(c.route);
      simulation.Advance(Millis(1500));
      const auto& outcome = simulation.outcome(call);
      if (outcome.attempts_sent == c.attempts_sent &&
          (c.fault == Fault::kNone || !outcome.answered ||
           c.attempts_sent > 1)) {
        faulty_call = call;
        break;
      }
    }
    CHECK_TEXT(faulty_call != 0, c.name);
    const auto& outcome = simulation.outcome(faulty_call);
    CHECK_TEXT(outcome.ended, c.name);
    CHECK_EQUAL_TEXT(c.answered, outcome.answered, c.name);
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(outcome.refusal), c.name);
  }
}

TEST(Dispatcher, RunsAtMostOnceUnderServerFaults) {
  for (const Fault fault :
       {Fault::kNone, Fault::kUnresponsive, Fault::kRefusesConnections,
        Fault::kFailsEverySecondRun, Fault::kRejectsAll, Fault::kReplaced}) {
    DispatchSimulation simulation({}, Plain(4));
    for (int i = 0; i < 100; ++i) {
      if (i == 20) {
        simulation.server(0).SetFault(fault);
      }
      if (i == 50) {
        for (const auto& event : simulation.server(1).Crash()) {
          static_cast<void>(event);
        }
      }
      simulation.Arrive("order");
      simulation.Advance(Millis(20));
    }
    simulation.Advance(Millis(3000));
    int64_t not_run = 0;
    for (const auto& [call, outcome] : simulation.outcomes()) {
      CHECK(outcome.ended);
      const bool refused_as_not_run =
          outcome.refusal == ErrorKind::kOverloaded ||
          outcome.refusal == ErrorKind::kUnavailable;
      not_run += refused_as_not_run ? 1 : 0;
    }
    // Each call ran at most once, and those refused as not run did not run.
    CHECK(Runs(simulation) <= 100 - static_cast<size_t>(not_run));
  }
}

TEST(Dispatcher, RefusesWithoutAnAttempt) {
  struct Case {
    const char* name;
    const char* route;
    bool requires_api_key;
    const char* key;
    ErrorKind refusal;
  };
  const std::vector<Case> cases = {
      {"no route", "nowhere", false, "key", ErrorKind::kNotFound},
      {"unknown key", "order", true, "other", ErrorKind::kUnauthenticated},
      {"known key", "order", true, "key", ErrorKind::kNone},
  };
  for (const Case& c : cases) {
    DispatchSimulation::Options options;
    options.requires_api_key = c.requires_api_key;
    options.organisations = {
        {godwit::base::OrganisationId("lantern-line"), {c.key}, {}, {}}};
    DispatchSimulation simulation(options, Plain(2));
    const CallId call = simulation.Arrive(c.route);
    simulation.Advance(Millis(500));
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(simulation.outcome(call).refusal),
                     c.name);
    CHECK_EQUAL_TEXT(c.refusal == ErrorKind::kNone, Runs(simulation) == 1,
                     c.name);
  }
}

TEST(Dispatcher, EndsEachRequestByItsDeadline) {
  DispatchSimulation simulation({}, Plain(1));
  simulation.server(0).SetFault(Fault::kUnresponsive);
  const CallId call = simulation.Arrive("order");
  simulation.Advance(Millis(2000));
  const auto& outcome = simulation.outcome(call);
  CHECK(outcome.ended);
  // The route's timeout is 800 ms; the answer is due within 500 ms after it.
  CHECK(outcome.ended_at - outcome.arrived_at <= Millis(1300));
}

TEST(Dispatcher, ResumesResumableStreams) {
  struct Case {
    const char* route;
    bool answered;
    bool aborted;
  };
  for (const Case& c :
       {Case{"summary", true, false}, Case{"chat", false, true}}) {
    DispatchSimulation simulation({}, Models(2));
    const CallId call = simulation.Arrive(c.route, 100, 400, 7, 20);
    simulation.Advance(Millis(200));
    const size_t index = simulation.server(0).running() > 0 ? 0 : 1;
    CHECK(simulation.server(index).running() == 1);
    const auto attempt = *simulation.server(index).ran().begin();
    simulation.server(index).Crash();
    simulation.Raise(godwit::dispatch::AttemptFailed{
        call, attempt, godwit::dispatch::AttemptFailure::kLost});
    simulation.Advance(Millis(2000));
    CHECK_EQUAL_TEXT(c.answered, simulation.outcome(call).answered, c.route);
    CHECK_EQUAL_TEXT(c.aborted, simulation.outcome(call).aborted, c.route);
  }
}

TEST(Dispatcher, CancelsTheAttemptWhenTheCallerDisconnects) {
  DispatchSimulation simulation({}, Models(1));
  const CallId call = simulation.Arrive("chat", 100, 400, 7, 200);
  simulation.Advance(Millis(200));
  CHECK_EQUAL(1, simulation.server(0).running());
  simulation.Disconnect(call);
  CHECK_EQUAL(0, simulation.server(0).running());
  CHECK(simulation.outcome(call).ended);
}

TEST(Dispatcher, SendsNothingToDrainingOrRemovedServers) {
  using Change = std::function<void(DispatchSimulation&)>;
  const std::vector<Change> changes = {
      [](DispatchSimulation& simulation) {
        auto backend = simulation.server(0).Registration();
        backend.draining = true;
        simulation.Raise(godwit::dispatch::BackendRegistered{backend});
      },
      [](DispatchSimulation& simulation) {
        simulation.Raise(godwit::dispatch::BackendRemoved{"s0"});
      }};
  for (const Change& change : changes) {
    DispatchSimulation simulation({}, Plain(2));
    change(simulation);
    for (int i = 0; i < 10; ++i) {
      simulation.Arrive("order");
      simulation.Advance(Millis(100));
    }
    CHECK_EQUAL(0, simulation.server(0).ran().size());
    CHECK_EQUAL(10, simulation.server(1).ran().size());
  }
}

// Guards against a log that is flooded by a server whose reports are damaged,
// and against damage that nobody learns of.
TEST(Dispatcher, RecordsAnInvalidLoadOnceForEachIncarnation) {
  auto servers = Plain(1);
  servers[0].has_invalid_load = true;
  DispatchSimulation simulation({}, servers);
  const auto run = [&simulation]() {
    for (int i = 0; i < 10; ++i) {
      simulation.Arrive("order");
      simulation.Advance(Millis(100));
    }
    return std::count_if(
        simulation.health_changes().begin(), simulation.health_changes().end(),
        [](const BackendHealthChanged& change) {
          return change.health == BackendHealthChanged::Health::kInvalidLoad;
        });
  };
  CHECK_EQUAL(1, run());
  auto restarted = simulation.server(0).Registration();
  restarted.started_at_ms = 7;
  simulation.Raise(godwit::dispatch::BackendRegistered{restarted});
  CHECK_EQUAL(2, run());
}

// Guards against a request that waits until its deadline for memory that no
// server has.
TEST(Dispatcher, RefusesARequestThatFitsIntoNoServerAtOnce) {
  DispatchSimulation::Options options;
  options.kv_capacity = 10'000;
  options.placement.capacity_model =
      godwit::dispatch::PlacementOptions::CapacityModelUse::kAlways;
  DispatchSimulation simulation(options, Models(2));
  const CallId large = simulation.Arrive("chat", 1'000, 9'000, 1, 10);
  CHECK(simulation.outcome(large).ended);
  CHECK(ErrorKind::kTooLarge == simulation.outcome(large).refusal);
  CHECK(!simulation.outcome(large).may_have_run);
  const CallId small = simulation.Arrive("chat", 1'000, 2'000, 1, 10);
  simulation.Advance(Millis(2000));
  CHECK(simulation.outcome(small).answered);
}

// Load: all routers of a data centre stop within seconds, so that callers have
// nowhere else to go. What ends in time is served until the last second.
TEST(Dispatcher, ServesWhatEndsBeforeARouterStops) {
  struct Case {
    const char* name;
    const char* route;
    bool is_prepaid;
    int64_t left_ms;
    bool answered;
  };
  constexpr Millis k_warm_up(1000);
  // The route "order" times out after 800 ms, "chat" after 15 s.
  const std::vector<Case> cases = {
      {"a short request", "order", false, 1500, true},
      {"a short request just in time", "order", false, 800, true},
      {"a short request too late", "order", false, 799, false},
      {"a stream that may last longer", "chat", false, 5000, false},
      {"a stream that ends in time", "chat", false, 20'000, true},
      {"a budget, of which nothing is held any more", "chat", true, 20'000,
       false}};
  for (const Case& c : cases) {
    DispatchSimulation::Options options;
    options.requires_api_key = true;
    options.organisations = {
        {godwit::base::OrganisationId("lantern"), {"key"}, 0, std::nullopt}};
    if (c.is_prepaid) {
      options.organisations[0].prepaid = 1'000'000;
    }
    std::vector<ModelServer::Options> servers = Plain(1);
    servers.emplace_back();
    DispatchSimulation simulation(options, servers);
    simulation.Advance(k_warm_up);
    simulation.Raise(godwit::dispatch::DrainRequested{
        DispatchSimulation::kStart + k_warm_up + Millis(c.left_ms)});
    const CallId call = simulation.Arrive(c.route, 0, 100, 0, 5);
    simulation.Advance(Millis(900));
    CHECK_EQUAL_TEXT(c.answered, simulation.outcome(call).answered, c.name);
    if (!c.answered) {
      CHECK_EQUAL_TEXT(static_cast<int>(ErrorKind::kLeaving),
                       static_cast<int>(simulation.outcome(call).refusal),
                       c.name);
    }
  }
}

TEST(Dispatcher, KeepsLapsedServersForTheReregistrationTime) {
  DispatchSimulation simulation({}, Plain(1));
  simulation.Raise(godwit::dispatch::StoreAvailabilityChanged{false});
  simulation.Advance(Millis(3000));
  simulation.Raise(godwit::dispatch::StoreAvailabilityChanged{true});
  simulation.Raise(godwit::dispatch::BackendsListed{});
  const CallId soon = simulation.Arrive("order");
  simulation.Advance(Millis(500));
  CHECK(simulation.outcome(soon).answered);
  simulation.Advance(Millis(2500));
  const CallId later = simulation.Arrive("order");
  simulation.Advance(Millis(100));
  CHECK_EQUAL(static_cast<int>(ErrorKind::kUnavailable),
              static_cast<int>(simulation.outcome(later).refusal));
}

TEST(Dispatcher, BillsARelayedFailure) {
  DispatchSimulation simulation({}, Models(1));
  const CallId call = simulation.Arrive("chat", 100, 400, 7, 5);
  const auto attempt = *simulation.server(0).ran().begin();
  godwit::dispatch::AttemptAnswered answered;
  answered.call = call;
  answered.attempt = attempt;
  answered.reply.status = 500;
  answered.reply.is_signed = true;
  answered.complete = true;
  simulation.Raise(answered);
  CHECK(simulation.outcome(call).ended);
  CHECK(simulation.outcome(call).may_have_run);
}

TEST(Dispatcher, AnOutdatedConfigurationNeverDeniesARoute) {
  struct Case {
    const char* name;
    bool is_followed;
    bool store_answers;
    int64_t elapsed_ms;
    ErrorKind refusal;
    bool ready;
  };
  for (const Case& c :
       {Case{"followed", true, true, 5000, ErrorKind::kNotFound, true},
        Case{"just interrupted", false, true, 500, ErrorKind::kNotFound, true},
        Case{"the store answers, the configuration is late", false, true, 2500,
             ErrorKind::kUnavailable, false},
        // Every router of the fleet may be partitioned from the store; those
        // that serve what they know are ready.
        Case{"partitioned from the store", false, false, 2500,
             ErrorKind::kUnavailable, true}}) {
    DispatchSimulation simulation({}, Plain(1));
    simulation.Raise(godwit::dispatch::ConfigurationTracking{c.is_followed,
                                                             c.store_answers});
    simulation.Advance(Millis(c.elapsed_ms));
    const CallId unknown = simulation.Arrive("none");
    const CallId known = simulation.Arrive("order");
    simulation.Advance(Millis(500));
    CHECK_EQUAL_TEXT(static_cast<int>(c.refusal),
                     static_cast<int>(simulation.outcome(unknown).refusal),
                     c.name);
    CHECK_TEXT(simulation.outcome(known).answered, c.name);
    CHECK_EQUAL_TEXT(c.ready, simulation.dispatcher().ready(), c.name);
    simulation.Raise(godwit::dispatch::ConfigurationTracking{true, true});
    CHECK_TEXT(simulation.dispatcher().ready(), c.name);
  }
}
