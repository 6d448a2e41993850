// Replays fleets that use up a budget with requests of mixed sizes, and counts
// the refused requests for which the budget had tokens.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "ledger/metered_budget_manager.h"
#include "metered_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Tokens;
using godwit::ledger::MeteredBudgetManager;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::MeteredSimulation;
using godwit::ledger::ReserveOutcome;
using godwit::ledger::TimedRequest;

namespace {

using ReserveResult = MeteredBudgetManager::ReserveResult;

constexpr size_t kFleet = 29;
constexpr double kSmallest = 1'200;
constexpr double kLargest = 20'000;
constexpr Millis kStep(5);
// A request that fits into this part of the limit is affordable.
constexpr Tokens kAffordablePercent = 97;
// Requests of at least this size are the largest tenth.
constexpr Tokens kLarge = 15'100;
constexpr int64_t kUrgencies = 3;

// Sizes are spread evenly by their logarithm; 30 to 60% of them is used.
class Load {
 public:
  Load(uint32_t seed, int64_t per_second)
      : random_(seed), per_second_(per_second) {}

  TimedRequest Next() {
    TimedRequest request;
    request.amount = static_cast<Tokens>(
        kSmallest * std::pow(kLargest / kSmallest, Uniform()));
    request.used = static_cast<Tokens>(static_cast<double>(request.amount) *
                                       (0.3 + 0.3 * Uniform()));
    request.duration = Millis(static_cast<int64_t>(300 + 700 * Uniform()));
    request.urgency = static_cast<int64_t>(random_() % kUrgencies);
    return request;
  }

  void For(MeteredSimulation& simulation, size_t routers, Millis span) {
    for (Millis t; t < span; t = t + kStep) {
      if (Uniform() < static_cast<double>(per_second_ * kStep.count()) / 1000) {
        simulation.Request(random_() % routers, Next());
      }
      simulation.Advance(kStep);
    }
  }

 private:
  double Uniform() { return std::uniform_real_distribution<>()(random_); }

  std::mt19937 random_;
  const int64_t per_second_;
};

struct Figures {
  int64_t affordable = 0;
  int64_t refused_affordable = 0;
  int64_t refused = 0;
  int64_t exhausted = 0;
  // Requests that arrived while any of them would have fitted, and the largest
  // tenth of these.
  int64_t all = 0;
  int64_t all_served = 0;
  int64_t large = 0;
  int64_t large_served = 0;
  // Median and maximum.
  Millis typical_refusal;
  Millis longest_refusal;
  int64_t operations = 0;
};

bool IsServed(const ReserveOutcome& outcome) {
  return outcome.result == ReserveResult::kReserved;
}

bool IsAffordable(const ReserveOutcome& outcome, Tokens limit) {
  return outcome.used_before + outcome.request.amount <=
         limit * kAffordablePercent / 100;
}

Figures FiguresOf(const MeteredSimulation& simulation, size_t first = 0) {
  const Tokens limit = simulation.highest_limit();
  Figures figures;
  std::vector<Millis> waits;
  for (size_t i = first; i < simulation.outcomes().size(); ++i) {
    const ReserveOutcome& outcome = simulation.outcomes()[i];
    const bool is_affordable = IsAffordable(outcome, limit);
    figures.affordable += IsServed(outcome) || is_affordable ? 1 : 0;
    if (outcome.used_before + static_cast<Tokens>(kLargest) <= limit) {
      const bool is_large = outcome.request.amount >= kLarge;
      figures.all += 1;
      figures.all_served += IsServed(outcome) ? 1 : 0;
      figures.large += is_large ? 1 : 0;
      figures.large_served += is_large && IsServed(outcome) ? 1 : 0;
    }
    if (IsServed(outcome)) {
      continue;
    }
    figures.refused_affordable += is_affordable ? 1 : 0;
    figures.refused += outcome.result == ReserveResult::kUnavailable ? 1 : 0;
    figures.exhausted += outcome.result == ReserveResult::kExhausted ? 1 : 0;
    waits.push_back(outcome.waited);
  }
  if (!waits.empty()) {
    std::sort(waits.begin(), waits.end());
    figures.typical_refusal = waits[waits.size() / 2];
    figures.longest_refusal = waits.back();
  }
  figures.operations = simulation.kv_operations();
  return figures;
}

std::string Text(const std::string& name, const Figures& figures) {
  return name + ": " + std::to_string(figures.refused_affordable) + " of " +
         std::to_string(figures.affordable) + " affordable refused, " +
         std::to_string(figures.refused) + " unavailable, " +
         std::to_string(figures.exhausted) + " exhausted, served " +
         std::to_string(figures.all_served) + " of " +
         std::to_string(figures.all) + ", of the largest " +
         std::to_string(figures.large_served) + " of " +
         std::to_string(figures.large) + ", refusals take " +
         std::to_string(figures.typical_refusal.count()) + " to " +
         std::to_string(figures.longest_refusal.count()) + " ms, " +
         std::to_string(figures.operations) + " operations";
}

}  // namespace

TEST_GROUP(UsedUpBudget){};

TEST(UsedUpBudget, AffordableRequestsAreServed) {
  struct Case {
    size_t routers;
    Tokens limit;
    int64_t per_second;
    int64_t max_refused_percent;
    int64_t max_operations;
  };
  const std::vector<Case> cases = {{20, 4'000'000, 50, 2, 600},
                                   {29, 4'000'000, 50, 8, 600},
                                   {29, 855'298, 10, 8, 900},
                                   {320, 4'000'000, 50, 12, 4'800}};
  for (const Case& c : cases) {
    MeteredSimulation simulation(1, c.routers, c.limit,
                                 MeteredPolicy().outage_cover);
    simulation.Connect();
    simulation.Advance(Millis(1000));
    Load(7, c.per_second).For(simulation, c.routers, Millis(45'000));
    const Figures figures = FiguresOf(simulation);
    const std::string text =
        Text(std::to_string(c.routers) + " routers, limit " +
                 std::to_string(c.limit),
             figures);
    UT_PRINT(text.c_str());
    CHECK_TEXT(figures.refused_affordable * 100 <=
                   figures.affordable * c.max_refused_percent,
               text.c_str());
    CHECK_TEXT(figures.operations <= c.max_operations, text.c_str());
    CHECK_TEXT(simulation.Used() <= c.limit, text.c_str());
  }
}

// The lender can't draw, and its promise ends.
TEST(UsedUpBudget, ALenderWithoutTheStoreIsReplaced) {
  MeteredSimulation simulation(1, kFleet, 4'000'000,
                               MeteredPolicy().outage_cover);
  simulation.Connect();
  simulation.Advance(Millis(1000));
  Load load(7, 50);
  load.For(simulation, kFleet, Millis(5'000));
  size_t lender = 0;
  for (size_t i = 0; i < kFleet; ++i) {
    lender = simulation.Held(i) > simulation.Held(lender) ? i : lender;
  }
  const size_t first = simulation.outcomes().size();
  simulation.Partition(lender, true);
  load.For(simulation, kFleet, Millis(12'000));
  simulation.Partition(lender, false);
  load.For(simulation, kFleet, Millis(2'000));
  const Figures figures = FiguresOf(simulation, first);
  const std::string text = Text("lender without the store", figures);
  UT_PRINT(text.c_str());
  CHECK_TEXT(figures.refused_affordable == 0, text.c_str());
}
