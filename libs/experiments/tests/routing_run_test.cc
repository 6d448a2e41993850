#include "routing_run.h"

#include <algorithm>
#include <vector>

#include "fake_engine.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Digest;
using godwit::experiments::EngineEvent;
using godwit::experiments::EngineEventKind;
using godwit::experiments::EngineRequest;
using godwit::experiments::EngineSettings;
using godwit::experiments::FakeEngine;
using godwit::experiments::MeasureCapacity;
using godwit::experiments::Policy;
using godwit::experiments::RoutingMeasures;
using godwit::experiments::RoutingScenario;
using godwit::experiments::RunScenario;

namespace {

constexpr uint64_t kSeed = 1;
constexpr double kAnyCapacity = 100;

EngineRequest Request(int64_t id, int64_t prompt, int64_t output) {
  EngineRequest request;
  request.id = id;
  request.prompt_tokens = prompt;
  request.output_tokens = output;
  request.deadline_us = 1000000;
  return request;
}

// Runs the engine until it is idle; returns the end time of each request.
std::vector<int64_t> EndsOf(FakeEngine& engine, size_t requests) {
  std::vector<int64_t> ends(requests);
  int64_t now = 0;
  while (const auto end = engine.StartStep(now)) {
    now = *end;
    for (const EngineEvent& event : engine.EndStep(now)) {
      if (event.kind == EngineEventKind::kEnded) {
        ends[static_cast<size_t>(event.id)] = now;
      }
    }
  }
  return ends;
}

}  // namespace

TEST_GROUP(FakeEngine){};

TEST(FakeEngine, TakesTheStatedTimes) {
  struct Case {
    int64_t slowness;
    int64_t prompt;
    int64_t output;
    int64_t end_us;
  };
  // A prefill step takes 8000 us plus 20 us for each token; the following
  // decode steps take 8120 us each.
  const std::vector<Case> cases = {
      {1, 100, 1, 10000},
      {1, 100, 3, 26240},
      {3, 100, 1, 30000},
      // Two chunks.
      {1, 1024, 1, 36480},
  };
  for (const Case& c : cases) {
    EngineSettings settings;
    settings.slowness = c.slowness;
    FakeEngine engine(settings);
    engine.Enqueue(0, Request(0, c.prompt, c.output));
    LONGS_EQUAL(c.end_us, EndsOf(engine, 1)[0]);
  }
}

TEST(FakeEngine, SkipsTheCachedPrefixAndQueuesBeyondTheBatch) {
  EngineSettings settings;
  settings.max_running = 1;
  FakeEngine engine(settings);
  for (int64_t id = 0; id < 2; ++id) {
    EngineRequest request = Request(id, 164, 1);
    request.blocks = {Digest(1, 1), Digest(1, 2)};
    engine.Enqueue(0, request);
  }
  const auto ends = EndsOf(engine, 2);
  LONGS_EQUAL(8000 + 164 * 20, ends[0]);
  LONGS_EQUAL(ends[0] + 8000 + 36 * 20, ends[1]);
}

TEST_GROUP(RoutingRun){};

TEST(RoutingRun, GivesTheSameMeasuresForTheSameSeed) {
  const RoutingScenario scenario;
  const auto first =
      RunScenario(scenario, Policy::kPicker, kAnyCapacity, kSeed);
  const auto again =
      RunScenario(scenario, Policy::kPicker, kAnyCapacity, kSeed);
  CHECK(first.arrivals > 1000);
  CHECK_EQUAL(first.ttft_p95_ms, again.ttft_p95_ms);
  CHECK_EQUAL(first.prefix_hit, again.prefix_hit);
}

TEST(RoutingRun, ThePolicyMeetsItsTargets) {
  RoutingScenario steady;
  RoutingScenario surge;
  surge.surge_load = 1.2;
  RoutingScenario slow;
  slow.first_engine_slowness = 3;
  struct Case {
    const char* name;
    RoutingScenario scenario;
    double max_ratio;
  };
  const std::vector<Case> cases = {
      {"steady", steady, 1.0}, {"surge", surge, 0.7}, {"slow", slow, 0.7}};
  const double capacity = MeasureCapacity(kSeed);
  for (const Case& c : cases) {
    auto run = [&](Policy policy) {
      return RunScenario(c.scenario, policy, capacity, kSeed);
    };
    const RoutingMeasures policy = run(Policy::kPicker);
    const RoutingMeasures robin = run(Policy::kRoundRobin);
    const RoutingMeasures least = run(Policy::kLeastInFlight);
    const double naive = std::min(robin.ttft_p95_ms, least.ttft_p95_ms);
    CHECK_TEXT(policy.ttft_p95_ms <= c.max_ratio * naive, c.name);
    CHECK_TEXT(
        policy.goodput_all >= std::max(robin.goodput_all, least.goodput_all),
        c.name);
    CHECK_TEXT(policy.prefix_hit > least.prefix_hit, c.name);
  }
}
