#include <cstdint>
#include <vector>

#include "dispatch/placement.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::Backend;
using godwit::dispatch::Placement;
using godwit::dispatch::PlacementOptions;
using godwit::dispatch::PlacementRequest;

namespace {

constexpr Millis kResponseTimeout(700);

// What happens to the attempts of a server, at a time.
struct Step {
  enum class Kind { kStart, kPause, kResume, kEnd };
  int64_t at_ms;
  Kind kind;
  int64_t attempt;
};

}  // namespace

TEST_GROUP(PausedAttempts){};

// Load: callers that don't read their answers, so that these are not read
// either, beside callers that do.
TEST(PausedAttempts, ServerWhoseCallersDoNotReadCountsAsUnresponsive) {
  using Kind = Step::Kind;
  struct Case {
    const char* name;
    std::vector<Step> steps;
    int64_t at_ms;
    bool is_unresponsive;
  };
  const std::vector<Case> cases = {
      {"not paused", {{0, Kind::kStart, 1}}, 701, true},
      {"paused", {{0, Kind::kStart, 1}, {100, Kind::kPause, 1}}, 9000, false},
      {"paused twice, resumed once",
       {{0, Kind::kStart, 1},
        {100, Kind::kPause, 1},
        {100, Kind::kPause, 1},
        {5000, Kind::kResume, 1}},
       5701,
       true},
      {"resumed a moment ago",
       {{0, Kind::kStart, 1}, {100, Kind::kPause, 1}, {5000, Kind::kResume, 1}},
       5700,
       false},
      {"another one starts",
       {{0, Kind::kStart, 1}, {100, Kind::kPause, 1}, {5000, Kind::kStart, 2}},
       5700,
       false},
      {"another one is not answered",
       {{0, Kind::kStart, 1}, {100, Kind::kPause, 1}, {5000, Kind::kStart, 2}},
       5701,
       true},
      {"the paused one ends",
       {{0, Kind::kStart, 1},
        {100, Kind::kPause, 1},
        {200, Kind::kStart, 2},
        {300, Kind::kEnd, 1}},
       901,
       true},
  };
  for (const Case& c : cases) {
    PlacementOptions options;
    options.response_timeout = kResponseTimeout;
    Placement placement(options);
    Backend backend;
    backend.instance = "s1";
    backend.service = ServiceId("plain");
    PlacementRequest request;
    request.service = backend.service;
    int64_t last = 0;
    for (const Step& step : c.steps) {
      const Millis at(step.at_ms);
      switch (step.kind) {
        case Kind::kStart:
          placement.OnStarted(at, step.attempt, backend, request);
          last = step.attempt;
          break;
        case Kind::kPause:
        case Kind::kResume:
          placement.OnPaused(at, step.attempt, step.kind == Kind::kPause);
          break;
        case Kind::kEnd:
          placement.OnEnded(at, step.attempt, Placement::Outcome::kCancelled);
          break;
      }
    }
    CHECK_EQUAL_TEXT(c.is_unresponsive,
                     placement.IsUnresponsive(Millis(c.at_ms), last), c.name);
  }
}
