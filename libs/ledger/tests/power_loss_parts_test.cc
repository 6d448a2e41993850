// Measures what a loss of power of all routers costs of a budget, by cause, and
// how soon requests are served afterwards. The requests use a part of their
// reservations and run for a while, as those of a real day do.
#include <algorithm>
#include <cstdio>
#include <random>

#include "ledger/metered_policy.h"
#include "metered_simulation.h"
#include "power_loss_parts.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;
using godwit::ledger::PowerLossParts;

namespace {

// A budget that lasts for 50 seconds, used by 18 requests a second.
constexpr Tokens kLimit = 10'000'000;
constexpr Tokens kUsePerSecond = kLimit / 50;
constexpr int kRequestsPerSecond = 18;
constexpr Tokens kMeanUse = kUsePerSecond / kRequestsPerSecond;
constexpr Millis kRound(50);

// Routers start again one after the other.
constexpr int64_t kStartSpreadMs = 400;
constexpr int64_t kClockSpreadMs = 300;

struct Load {
  const char* name;
  size_t routers;
  // Share of its reservation that a request uses, in percent.
  int least_used_percent;
  int most_used_percent;
  Millis shortest;
  Millis longest;
  // How long it lasts before the loss of power, and for how long VMs are off.
  int seconds;
  Millis off;
};

// Lets requests of mixed sizes arrive at random routers.
class LoadGenerator {
 public:
  LoadGenerator(MeteredSimulation& simulation, const Load& load, unsigned seed)
      : simulation_(simulation), load_(load), random_(seed) {}

  void RunFor(Millis span) {
    for (Millis passed(0); passed < span; passed = passed + kRound) {
      due_ += kRequestsPerSecond * static_cast<double>(kRound.count()) / 1000;
      for (; due_ >= 1; due_ -= 1) {
        Submit();
      }
      simulation_.Advance(kRound);
    }
  }

 private:
  int64_t Between(int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random_);
  }

  void Submit() {
    const auto percent = static_cast<int>(
        Between(load_.least_used_percent, load_.most_used_percent));
    const Tokens use = Between(kMeanUse / 2, kMeanUse * 3 / 2);
    const Millis duration(
        Between(load_.shortest.count(), load_.longest.count()));
    const auto router = static_cast<size_t>(
        Between(0, static_cast<int64_t>(load_.routers) - 1));
    simulation_.Run(router, use * 100 / percent, percent, duration);
  }

  MeteredSimulation& simulation_;
  const Load load_;
  std::mt19937 random_;
  double due_ = 0;
};

struct Figures {
  // In seconds of use.
  double advance = 0;
  double loans = 0;
  double reservations = 0;
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
  // KV operations per second before the loss of power.
  double operations = 0;
};

double Seconds(Tokens tokens) {
  return static_cast<double>(tokens) / static_cast<double>(kUsePerSecond);
}

Figures Measure(const Load& load, unsigned seed) {
  MeteredSimulation simulation(seed, load.routers, kLimit, MeteredPolicy());
  simulation.BeginEras();
  // The wall clocks differ.
  for (size_t router = 0; router < load.routers; ++router) {
    simulation.JumpClock(
        router, Millis(static_cast<int64_t>(router * 53 % kClockSpreadMs)));
  }
  simulation.Connect();
  simulation.Advance(Millis(1000));
  LoadGenerator generator(simulation, load, seed);
  generator.RunFor(godwit::base::Seconds(load.seconds - 5));
  const int64_t operations = simulation.kv_operations();
  generator.RunFor(godwit::base::Seconds(5));
  Figures figures;
  figures.operations =
      static_cast<double>(simulation.kv_operations() - operations) / 5;
  // At any age of the promises.
  generator.RunFor(kRound * static_cast<int64_t>(seed * 7 % 30));
  const PowerLossParts parts = simulation.PartsNow();
  const Tokens counted_before = simulation.counted();
  int64_t off_ms = 0;
  for (size_t router = 0; router < load.routers; ++router) {
    const int64_t spread = static_cast<int64_t>(router * 37 % kStartSpreadMs);
    simulation.PowerOff(router, load.off + Millis(spread));
    off_ms = std::max(off_ms, load.off.count() + spread);
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
    mean.off += one.off / k_runs;
    mean.unknown += one.unknown / k_runs;
    mean.total += one.total / k_runs;
    mean.refused += one.refused / k_runs;
    mean.refused_for_ms += one.refused_for_ms / k_runs;
    mean.first_served_ms += one.first_served_ms / k_runs;
    mean.operations += one.operations / k_runs;
  }
  return mean;
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
       {Case{{"even", 4, 100, 100, Millis(100), Millis(100), 10, longer},
             4.1,
             0},
        Case{{"parts", 4, 30, 60, Millis(300), Millis(1000), 10, longer},
             5.4,
             0},
        Case{{"parts", 29, 30, 60, Millis(300), Millis(1000), 10, longer},
             6.4,
             0},
        Case{{"parts", 29, 30, 60, Millis(300), Millis(1000), 10, shorter},
             5.7,
             0},
        Case{{"short supply", 29, 30, 60, Millis(300), Millis(1000), 38,
              shorter},
             5.7,
             40}}) {
    const Figures figures = Mean(c.load);
    std::printf(
        "%s, %zu routers off for %.1f s: advance %.2f + loans %.2f + "
        "reservations %.2f + off %.2f + clocks and growth %.2f = %.2f s; "
        "first served after %.0f ms; refused in 5 s: %.1f, until %.0f ms; "
        "%.1f KV operations/s\n",
        c.load.name, c.load.routers,
        static_cast<double>(c.load.off.count()) / 1000, figures.advance,
        figures.loans, figures.reservations, figures.off, figures.unknown,
        figures.total, figures.first_served_ms, figures.refused,
        figures.refused_for_ms, figures.operations);
    CHECK_TEXT(figures.total <= c.most_lost_s, c.load.name);
    CHECK_TEXT(figures.refused <= c.most_refused, c.load.name);
  }
}
