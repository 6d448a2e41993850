// The bound on retries to a service, for all routers and over their restarts.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "dispatch/routers_listed.h"
#include "dispatch_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::DispatchSimulation;
using godwit::dispatch::ModelServer;
using Fault = ModelServer::Fault;

namespace {

constexpr int kCalls = 1000;

std::vector<ModelServer::Options> Plain(size_t count) {
  ModelServer::Options options;
  options.service = "plain";
  options.slots = 6;
  return std::vector<ModelServer::Options>(count, options);
}

}  // namespace

TEST_GROUP(RetryBound){};

TEST(RetryBound, BoundsRetries) {
  DispatchSimulation simulation({}, Plain(4));
  for (size_t i = 0; i < 4; ++i) {
    simulation.server(i).SetFault(Fault::kRejectsAll);
  }
  int64_t total_attempts = 0;
  for (int i = 0; i < kCalls; ++i) {
    simulation.Arrive("status");
    simulation.Advance(Millis(5));
  }
  simulation.Advance(Millis(2000));
  for (const auto& [call, outcome] : simulation.outcomes()) {
    total_attempts += outcome.attempts_sent;
  }
  // 20% of the requests plus a slack of 50, for a single router.
  CHECK(total_attempts - kCalls <= kCalls / 5 + 50);
}

// Guards against repeats by restarted routers that each use the whole slack of
// the bound on retries.
TEST(RetryBound, RestartedRoutersRetryBeyondTheBound) {
  constexpr int k_restarts = 4;
  constexpr int k_calls = 100;
  constexpr Millis k_window(10'000);
  int64_t repeats = 0;
  for (int restart = 0; restart < k_restarts; ++restart) {
    DispatchSimulation::Options options;
    options.retry_window = restart == 0 ? Millis(0) : k_window;
    DispatchSimulation simulation(options, Plain(4));
    for (size_t i = 0; i < 4; ++i) {
      simulation.server(i).SetFault(Fault::kRejectsAll);
    }
    for (int i = 0; i < k_calls; ++i) {
      simulation.Arrive("status");
      simulation.Advance(Millis(20));
      if (i == k_calls / 2) {
        // Another router becomes known.
        simulation.Raise(godwit::dispatch::RoutersListed{
            {{godwit::base::ProcessId("router-1"),
              godwit::base::Incarnation("router-1.1"),
              {},
              0},
             {godwit::base::ProcessId("router-2"),
              godwit::base::Incarnation("router-2.1"),
              {},
              0}}});
      }
    }
    simulation.Advance(Millis(300));
    for (const auto& [call, outcome] : simulation.outcomes()) {
      repeats += std::max<int64_t>(0, outcome.attempts_sent - 1);
    }
  }
  const int64_t bound = k_restarts * k_calls / 5 + 50;
  CHECK_COMPARE(repeats, <=, bound);
}

TEST(RetryBound, RestartedRouterRetriesAgainAfterTheWindow) {
  constexpr int64_t k_slack = 50;
  DispatchSimulation::Options options;
  options.retry_window = Millis(10'000);
  DispatchSimulation simulation(options, Plain(4));
  simulation.Advance(Millis(10'100));
  for (size_t i = 0; i < 4; ++i) {
    simulation.server(i).SetFault(Fault::kRejectsAll);
  }
  int64_t repeats = 0;
  for (int i = 0; i < kCalls; ++i) {
    simulation.Arrive("status");
    simulation.Advance(Millis(5));
  }
  simulation.Advance(Millis(2000));
  for (const auto& [call, outcome] : simulation.outcomes()) {
    repeats += std::max<int64_t>(0, outcome.attempts_sent - 1);
  }
  CHECK_COMPARE(repeats, >=, k_slack);
  CHECK_COMPARE(repeats, <=, kCalls / 5 + k_slack);
}
