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

TEST_GROUP(ColdPlacement){};

// A cold server is given up since it answers slowly.
TEST(ColdPlacement, AColdServerHasTwiceTheResponseTimeout) {
  struct Case {
    const char* name;
    int64_t cold_until;
    int64_t after;
    bool is_unresponsive;
  };
  const std::vector<Case> cases = {{"warm, in time", 0, 700, false},
                                   {"warm, late", 0, 701, true},
                                   {"cold, in time", 9000, 1400, false},
                                   {"cold, late", 9000, 1401, true},
                                   {"warm again, late", 1500, 701, true}};
  for (const Case& c : cases) {
    PlacementOptions options;
    options.response_timeout = Millis(700);
    Placement placement(options);
    Backend backend;
    backend.instance = "s1";
    backend.service = ServiceId("plain");
    PlacementRequest request;
    request.service = backend.service;
    placement.SetColdUntil(backend, Millis(c.cold_until));
    placement.OnStarted(Millis(1000), 1, backend, request);
    CHECK_EQUAL_TEXT(c.is_unresponsive,
                     placement.IsUnresponsive(Millis(1000 + c.after), 1),
                     c.name);
  }
}
