// Measures what a loss of power of all routers costs of a budget, by cause, and
// how soon requests are served afterwards. The requests use a part of their
// reservations and run for a while, as those of a real day do.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <vector>

#include "ledger/metered_policy.h"
#include "load_generator.h"
#include "metered_simulation.h"
#include "power_loss_parts.h"
#include "request_mix.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::LoadGenerator;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;
using godwit::ledger::PowerLossParts;
using godwit::ledger::RequestMix;

namespace {

constexpr Tokens kLimit = LoadGenerator::kLimit;
constexpr Tokens kUsePerSecond = LoadGenerator::kUsePerSecond;
constexpr Millis kRound = LoadGenerator::kRound;
// Every request uses its reservation, or a part of it.
constexpr RequestMix kEven4{4, 100, 100, Millis(100), Millis(100)};
constexpr RequestMix kParts4{4, 30, 60, Millis(300), Millis(1000)};
constexpr RequestMix kParts29{29, 30, 60, Millis(300), Millis(1000)};
// Routers start again one after the other.
constexpr int64_t kStartSpreadMs = 400;
constexpr int64_t kClockSpreadMs = 300;

// Prompts of which one in eight is eight times as large, and what is reserved
// for their output.
constexpr RequestMix kPrompts4{4, 80, 100, Millis(300), Millis(3000),
                               6, 8,  true};
constexpr RequestMix kPrompts29{29,           80, 100, Millis(300),
                                Millis(3000), 6,  8,   true};

enum class LossKind : uint8_t { kPower, kProcess };

struct Load {
  const char* name;
  RequestMix mix;
  // How long it lasts before the loss of all routers, and for how long these
  // are off.
  int seconds;
  Millis off;
  LossKind kind = LossKind::kPower;
};

struct Figures {
  // In seconds of use.
  double advance = 0;
  double loans = 0;
  double reservations = 0;
  // Mean time for which a router was off.
  double time_off = 0;
  // Growth while the VMs were off, and for what is not known of the time.
  double off = 0;
  double unknown = 0;
  double total = 0;
  // Requests refused as unavailable in the first five seconds afterwards, the
  // time from the last start of a router to the last of them, and the time to
  // the first request that is served.
  double refused = 0;
  double refused_for_ms = 0;
  double first_served_ms = 0;
  // Before the loss of power: KV operations per second, and the share of
  // requests that wait for tokens, in percent.
  double operations = 0;
  double delayed = 0;
};

double Seconds(Tokens tokens) {
  return static_cast<double>(tokens) / static_cast<double>(kUsePerSecond);
}

Figures Measure(const Load& load, unsigned seed) {
  MeteredSimulation simulation(seed, load.mix.routers, kLimit, MeteredPolicy());
  simulation.BeginEras();
  // The wall clocks differ.
  for (size_t router = 0; router < load.mix.routers; ++router) {
    simulation.JumpClock(
        router, Millis(static_cast<int64_t>(router * 53 % kClockSpreadMs)));
  }
  simulation.Connect();
  simulation.Advance(Millis(1000));
  LoadGenerator generator(simulation, load.mix, seed);
  generator.RunFor(godwit::base::Seconds(load.seconds - 5));
  const int64_t operations = simulation.kv_operations();
  generator.RunFor(godwit::base::Seconds(5));
  Figures figures;
  figures.operations =
      static_cast<double>(simulation.kv_operations() - operations) / 5;
  figures.delayed = static_cast<double>(simulation.delayed()) * 100 /
                    static_cast<double>(simulation.served());
  // At any age of the promises.
  generator.RunFor(kRound * static_cast<int64_t>(seed * 7 % 30));
  const PowerLossParts parts = simulation.PartsNow();
  const Tokens counted_before = simulation.counted();
  int64_t off_ms = 0;
  for (size_t router = 0; router < load.mix.routers; ++router) {
    const int64_t spread = static_cast<int64_t>(router * 37 % kStartSpreadMs);
    if (load.kind == LossKind::kPower) {
      simulation.PowerOff(router, load.off + Millis(spread));
    } else {
      simulation.Kill(router, load.off + Millis(spread));
    }
    off_ms = std::max(off_ms, load.off.count() + spread);
    figures.time_off += static_cast<double>(load.off.count() + spread) / 1000 /
                        static_cast<double>(load.mix.routers);
  }
  const Millis lost_at = simulation.now();
  const int64_t refused = simulation.refused();
  const int64_t served = simulation.served();
  Millis first_served = godwit::base::Seconds(5);
  while (simulation.now() < lost_at + load.off + godwit::base::Seconds(5)) {
    generator.RunFor(kRound);
    if (simulation.served() > served) {
      first_served =
          std::min(first_served, simulation.now() - lost_at - load.off);
    }
  }
  figures.first_served_ms = static_cast<double>(first_served.count());
  figures.refused = static_cast<double>(simulation.refused() - refused);
  if (simulation.refused() > refused) {
    figures.refused_for_ms = static_cast<double>(
        (simulation.last_refused_at() - lost_at).count() - off_ms);
  }
  const Tokens growth = simulation.counted() - counted_before - parts.promised;
  if (seed == 1) {
    generator.RunFor(godwit::base::Seconds(50));
    CHECK(simulation.Used() <= kLimit);
  }
  figures.advance = Seconds(parts.advance);
  figures.loans = Seconds(parts.loans);
  figures.reservations = Seconds(parts.reservations);
  figures.off =
      std::min(Seconds(growth), static_cast<double>(load.off.count()) / 1000);
  figures.unknown = Seconds(growth) - figures.off;
  figures.total =
      Seconds(growth + parts.advance + parts.loans + parts.reservations);
  return figures;
}

Figures Mean(const Load& load) {
  constexpr unsigned k_runs = 8;
  Figures mean;
  for (unsigned seed = 1; seed <= k_runs; ++seed) {
    const Figures one = Measure(load, seed);
    mean.advance += one.advance / k_runs;
    mean.loans += one.loans / k_runs;
    mean.reservations += one.reservations / k_runs;
    mean.time_off += one.time_off / k_runs;
    mean.off += one.off / k_runs;
    mean.unknown += one.unknown / k_runs;
    mean.total += one.total / k_runs;
    mean.refused += one.refused / k_runs;
    mean.refused_for_ms += one.refused_for_ms / k_runs;
    mean.first_served_ms += one.first_served_ms / k_runs;
    mean.operations += one.operations / k_runs;
    mean.delayed += one.delayed / k_runs;
  }
  return mean;
}

struct Outage {
  const char* name;
  RequestMix mix;
  bool is_kv_unavailable;
  // One router reaches neither the KV nor any router.
  bool isolates_one;
  int seconds;
};

// Returns the mean number of requests refused in an outage that begins after
// ten seconds of load.
double RefusedIn(const Outage& outage) {
  constexpr unsigned k_runs = 8;
  double refused = 0;
  for (unsigned seed = 1; seed <= k_runs; ++seed) {
    MeteredSimulation simulation(seed, outage.mix.routers, kLimit,
                                 MeteredPolicy());
    simulation.BeginEras();
    simulation.Connect();
    simulation.Advance(Millis(1000));
    LoadGenerator generator(simulation, outage.mix, seed);
    // At any age of the promises.
    generator.RunFor(godwit::base::Seconds(10) +
                     kRound * static_cast<int64_t>(seed * 7 % 30));
    const int64_t before = simulation.refused();
    simulation.faults().unavailable = outage.is_kv_unavailable;
    if (outage.isolates_one) {
      const size_t router = seed % outage.mix.routers;
      simulation.Isolate(router, true);
      simulation.Partition(router, true);
    }
    generator.RunFor(godwit::base::Seconds(outage.seconds));
    refused += static_cast<double>(simulation.refused() - before) / k_runs;
  }
  return refused;
}

}  // namespace

TEST_GROUP(PowerLossParts){};

// Guards against a promise, a loan or a wait that grows.
TEST(PowerLossParts, AreBelowTheirBounds) {
  struct Case {
    Load load;
    double most_lost_s;
    double most_refused;
  };
  const Millis longer(1600);
  const Millis shorter(900);
  for (const Case& c :
       {Case{{"even", kEven4, 10, longer}, 2.9, 0},
        Case{{"parts", kParts4, 10, longer}, 4.5, 0},
        Case{{"parts", kParts29, 10, longer}, 4.2, 0},
        Case{{"parts", kParts29, 10, shorter}, 3.5, 0},
        Case{{"short supply", kParts29, 38, shorter}, 3.5, 0}}) {
    const Figures figures = Mean(c.load);
    std::printf(
        "%s, %zu routers off for %.1f s: advance %.2f + loans %.2f + "
        "reservations %.2f + off %.2f + clocks and growth %.2f = %.2f s; "
        "first served after %.0f ms; refused in 5 s: %.1f, until %.0f ms; "
        "%.2f KV operations/s, %.0f%% of requests wait\n",
        c.load.name, c.load.mix.routers,
        static_cast<double>(c.load.off.count()) / 1000, figures.advance,
        figures.loans, figures.reservations, figures.off, figures.unknown,
        figures.total, figures.first_served_ms, figures.refused,
        figures.refused_for_ms, figures.operations, figures.delayed);
    CHECK_TEXT(figures.total <= c.most_lost_s, c.load.name);
    CHECK_TEXT(figures.refused <= c.most_refused, c.load.name);
  }
}

TEST(PowerLossParts, TokensOfABudgetAddUpAtItsLender) {
  MeteredSimulation simulation(1, kParts4.routers, kLimit, MeteredPolicy());
  simulation.BeginEras();
  simulation.Connect();
  simulation.Advance(Millis(1000));
  LoadGenerator generator(simulation, kParts4, 1);
  int reports = 0;
  for (int round = 0; round < 200; ++round) {
    if (round == 100) {
      for (size_t router = 0; router < kParts4.routers; ++router) {
        simulation.PowerOff(router, Millis(900));
      }
    }
    generator.RunFor(kRound);
    if (const auto report = simulation.LenderReport()) {
      ++reports;
      CHECK_EQUAL(kLimit, report->free + report->held + report->lent +
                              report->in_doubt + report->delivered +
                              report->elsewhere);
    }
  }
  CHECK(reports > 150);
}

TEST_GROUP(PowerLossTargetOfPrompts){};

// Target: a loss of all routers costs the time for which they are off and half
// a second of use, beyond what requests in progress had used.
TEST(PowerLossTargetOfPrompts, CostsTheTimeOffAndHalfASecond) {
  constexpr double k_most_beyond_off_s = 0.5;
  for (const Load& load :
       {Load{"prompts", kPrompts4, 10, Millis(1600)},
        Load{"prompts, killed", kPrompts4, 10, Millis(500), LossKind::kProcess},
        Load{"prompts", kPrompts29, 10, Millis(1600)},
        Load{"prompts, killed", kPrompts29, 10, Millis(500),
             LossKind::kProcess}}) {
    const Figures figures = Mean(load);
    std::printf(
        "%s, %zu routers off for %.1f s: advance %.2f + loans %.2f + "
        "reservations %.2f + off %.2f + clocks and growth %.2f = %.2f s; "
        "%.2f KV operations/s, %.0f%% of requests wait\n",
        load.name, load.mix.routers, figures.time_off, figures.advance,
        figures.loans, figures.reservations, figures.off, figures.unknown,
        figures.total, figures.operations, figures.delayed);
    CHECK_TEXT(figures.total <= figures.time_off + k_most_beyond_off_s,
               load.name);
  }
}

namespace {

struct OutageCase {
  Outage outage;
  double most_refused;
};

void CheckOutages(const std::vector<OutageCase>& cases) {
  for (const OutageCase& c : cases) {
    const double refused = RefusedIn(c.outage);
    std::printf("%s for %d s, %zu routers: %.1f refused\n", c.outage.name,
                c.outage.seconds, c.outage.mix.routers, refused);
    CHECK_TEXT(refused <= c.most_refused, c.outage.name);
  }
}

}  // namespace

// Guards against promises and loans that are too small for an outage.
TEST(PowerLossParts, OutagesAreServed) {
  CheckOutages({{{"even, KV unavailable", kEven4, true, false, 8}, 0},
                {{"parts, KV unavailable", kParts4, true, false, 8}, 0},
                {{"even, one isolated", kEven4, false, true, 9}, 32},
                {{"parts, one isolated", kParts4, false, true, 9}, 30},
                {{"parts, one isolated", kParts29, false, true, 9}, 6}});
}

TEST_GROUP(PowerLossTargetOfOutages){};

TEST(PowerLossTargetOfOutages, ManyRoutersServe) {
  CheckOutages({{{"parts, KV unavailable", kParts29, true, false, 8}, 0}});
}
