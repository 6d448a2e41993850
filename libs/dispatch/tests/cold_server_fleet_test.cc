// Replays cold backend servers while a fleet of routers is under load, and
// counts what they receive.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "router_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::RouterFleet;

namespace {

using ColdStatement = RouterFleet::ColdStatement;

// In any second, a cold server may receive one and a half times what it states,
// and five requests.
constexpr double kToleratedShare = 1.5;
constexpr double kToleratedRequests = 5;
// Of the rate that it states, under load.
constexpr double kLeastShareUsed = 0.6;
constexpr Millis kSettleTime(20'000);
// Until all routers have read the registration of a new server.
constexpr Millis kReadTime(2000);
constexpr Millis kColdStart(12'000);

int64_t Allowed(double rate) {
  return static_cast<int64_t>(kToleratedShare * rate + kToleratedRequests);
}

RouterFleet::Options OverloadedFleet(size_t routers, double rate) {
  RouterFleet::Options options;
  options.routers = routers;
  options.servers = 2;
  // Enough for the rate of a cold server, which takes longer.
  options.slots = std::max<int64_t>(8, static_cast<int64_t>(rate / 2));
  // Twice what the warm server can serve, a third more than its slots.
  // At fewer requests than a router may send, it can't use its share.
  options.requests_per_second =
      std::max(static_cast<double>(*options.slots) * 27,
               4 * static_cast<double>(routers));
  options.cold_rate = rate;
  options.cold_start = kColdStart;
  options.delivery_jitter = Millis(40);
  return options;
}

void Print(const std::string& text) {
  if (std::getenv("GODWIT_PRINT_FIGURES") != nullptr) {
    std::printf("%s\n", text.c_str());
  }
}

}  // namespace

TEST_GROUP(ColdServerFleet){};

// A server that crashes above its rate, and one to which nothing is sent.
TEST(ColdServerFleet, RoutersUseTheRateOfAColdServerAndNoMore) {
  struct Case {
    size_t routers;
    double rate;
  };
  const std::vector<Case> cases = {
      {1, 2},    {1, 40},  {4, 0.5},  {4, 1},     {4, 1.5},   {4, 5},
      {4, 40},   {23, 24}, {24, 1},   {24, 10},   {24, 100},  {100, 3},
      {100, 40}, {320, 1}, {320, 10}, {320, 100}, {320, 200},
  };
  std::string violations;
  for (const Case& c : cases) {
    RouterFleet fleet(OverloadedFleet(c.routers, c.rate));
    fleet.Run(kSettleTime);
    fleet.StartCold(0, Millis(1000), ColdStatement::kAtOnce);
    fleet.Run(Millis(1000) + kReadTime);
    const Millis from = fleet.now();
    const Millis span = kColdStart - kReadTime;
    fleet.Run(span);
    const int64_t most = fleet.MostPerSecondWhileCold(0, Millis());
    const double used =
        static_cast<double>(fleet.ArrivalsBetween(0, from, fleet.now())) *
        1000 / (static_cast<double>(span.count()) * c.rate);
    const std::string text =
        std::to_string(c.routers) + " routers, rate " + std::to_string(c.rate) +
        ": " + std::to_string(most) + " in a second, allowed " +
        std::to_string(Allowed(c.rate)) + ", used " + std::to_string(used);
    Print(text);
    if (most > Allowed(c.rate) || used < kLeastShareUsed) {
      violations += "\n" + text;
    }
  }
  STRCMP_EQUAL("", violations.c_str());
}

// A server that is limited for longer than it is cold.
TEST(ColdServerFleet, AServerTakesItsFullLoadOnceItIsWarm) {
  for (const size_t routers : {4, 24, 100}) {
    RouterFleet::Options options = OverloadedFleet(routers, 5);
    options.cold_start = Millis(6000);
    RouterFleet fleet(options);
    fleet.Run(kSettleTime);
    const int64_t before =
        fleet.ArrivalsBetween(0, Millis(15'000), kSettleTime);
    fleet.StartCold(0, Millis(500), ColdStatement::kAtOnce);
    fleet.Run(Millis(500) + options.cold_start);
    // The last statement that was read may be two seconds old.
    const Millis warm_at = fleet.now();
    fleet.Run(Millis(10'000));
    Millis full_after(0);
    const double usual = static_cast<double>(before) / 5;
    while (fleet.ArrivalsBetween(0, warm_at + full_after,
                                 warm_at + full_after + Millis(1000)) <
               0.8 * usual &&
           full_after < Millis(9000)) {
      full_after = full_after + Millis(100);
    }
    const std::string text = std::to_string(routers) +
                             " routers: full load after " +
                             std::to_string(full_after.count()) + " ms";
    Print(text);
    CHECK_TEXT(full_after <= Millis(2500), text.c_str());
  }
}

// Routers that have just started know neither the others nor what they sent.
TEST(ColdServerFleet, AfterARestartOfAllRoutersALittleIsSent) {
  for (const size_t routers : {4, 24, 320}) {
    RouterFleet::Options options = OverloadedFleet(routers, 10);
    options.cold_start = Millis(30'000);
    RouterFleet fleet(options);
    fleet.Run(kSettleTime);
    fleet.StartCold(0, Millis(1000), ColdStatement::kAtOnce);
    for (size_t i = 0; i < routers; ++i) {
      fleet.Restart(i, Millis(static_cast<int64_t>(500 + i % 7 * 100)));
    }
    const Millis from = fleet.now();
    fleet.Run(Millis(14'000));
    const int64_t sent = fleet.ArrivalsBetween(0, from, fleet.now());
    const int64_t most = fleet.MostPerSecondWhileCold(0, Millis());
    const std::string text =
        std::to_string(routers) + " routers: " + std::to_string(sent) +
        " in 14 s, at most " + std::to_string(most) + " in a second";
    Print(text);
    CHECK_TEXT(sent >= 5 && sent <= 40 && most <= Allowed(10), text.c_str());
  }
}

// A server that becomes cold without a restart.
TEST(ColdServerFleet, AServerThatBecomesColdAgainIsLimited) {
  for (const size_t routers : {4, 100}) {
    RouterFleet fleet(OverloadedFleet(routers, 10));
    fleet.Run(kSettleTime);
    fleet.BecomeCold(0);
    fleet.Run(kReadTime);
    const Millis from = fleet.now();
    fleet.Run(kColdStart);
    const int64_t most = fleet.MostPerSecondWhileCold(0, from);
    CHECK_TEXT(most > 0 && most <= Allowed(10), std::to_string(most).c_str());
  }
}

// Callers that wait for a place that the rate does not have.
TEST(ColdServerFleet, RequestsAboveTheRateAreRefusedAtOnce) {
  RouterFleet::Options options = OverloadedFleet(24, 10);
  options.servers = 1;
  options.requests_per_second = 300;
  options.timeout = Millis(500);
  RouterFleet fleet(options);
  fleet.Run(kSettleTime);
  fleet.StartCold(0, Millis(100), ColdStatement::kAtOnce);
  fleet.Run(Millis(4000));
  const int64_t answered = fleet.answered();
  const int64_t refused = fleet.refused();
  fleet.Run(Millis(5000));
  CHECK(fleet.answered() - answered >= 30);
  CHECK(fleet.refused() - refused >= 1300);
}
