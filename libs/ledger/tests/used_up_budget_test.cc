// Replays fleets that use up a budget with requests of mixed sizes, and counts
// the refused requests for which the budget had tokens.
#include <algorithm>
#include <array>
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
constexpr size_t kUrgencies = 3;
// Messages take up to 12 ms each way; a request waits 100 ms for tokens that
// are expected.
constexpr Millis kTypicalRefusal(50);
constexpr Millis kLongestRefusal(150);

// Sizes are spread evenly by their logarithm; 30 to 60% of them is used.
class Load {
 public:
  Load(uint32_t seed, int64_t per_second)
      : random_(seed), per_second_(per_second) {}

  // No request ends with proven usage from now on.
  void LoseConnections() { is_proven_ = false; }

  TimedRequest Next() {
    TimedRequest request;
    request.is_proven = is_proven_;
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
  bool is_proven_ = true;
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
  // After the first refusal.
  std::array<int64_t, kUrgencies> served_by_urgency{};
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
      const auto urgency = static_cast<size_t>(outcome.request.urgency);
      figures.served_by_urgency.at(urgency) += waits.empty() ? 0 : 1;
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
         std::to_string(figures.large) + ", by urgency " +
         std::to_string(figures.served_by_urgency.front()) + " to " +
         std::to_string(figures.served_by_urgency.back()) + ", refusals take " +
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
    int lost_percent;
    uint32_t seed;
    // Operations on the KV before budgets could be scarce.
    int64_t max_operations;
  };
  const std::vector<Case> cases = {
      {20, 4'000'000, 50, 0, 7, 395},   {20, 4'000'000, 50, 5, 8, 395},
      {29, 4'000'000, 50, 0, 7, 496},   {29, 4'000'000, 50, 5, 9, 496},
      {29, 855'298, 10, 0, 7, 529},     {29, 855'298, 10, 5, 10, 529},
      {320, 4'000'000, 50, 0, 7, 3'849}};
  int64_t served_most_urgent = 0;
  int64_t served_least_urgent = 0;
  for (const Case& c : cases) {
    MeteredSimulation simulation(1, c.routers, c.limit,
                                 MeteredPolicy().outage_cover);
    simulation.Connect(c.lost_percent);
    simulation.Advance(Millis(1000));
    Load(c.seed, c.per_second).For(simulation, c.routers, Millis(45'000));
    const Figures figures = FiguresOf(simulation);
    const std::string text =
        Text(std::to_string(c.routers) + " routers, limit " +
                 std::to_string(c.limit),
             figures);
    UT_PRINT(text.c_str());
    CHECK_TEXT(figures.refused_affordable * 100 <= figures.affordable,
               text.c_str());
    // Large requests wait for their turn instead of losing to small ones.
    CHECK_TEXT(figures.large > 0 && 2 * figures.large_served * figures.all >=
                                        figures.all_served * figures.large,
               text.c_str());
    CHECK_TEXT(figures.typical_refusal <= kTypicalRefusal &&
                   figures.longest_refusal <= (c.lost_percent == 0
                                                   ? kLongestRefusal
                                                   : MeteredPolicy().max_wait),
               text.c_str());
    served_most_urgent += figures.served_by_urgency.front();
    served_least_urgent += figures.served_by_urgency.back();
    // A caller retries in vain when the budget is used up and that is not said.
    CHECK_TEXT(figures.exhausted > figures.refused, text.c_str());
    CHECK_EQUAL_TEXT(0, simulation.falsely_exhausted(), text.c_str());
    const auto refusals = simulation.refusals();
    CHECK_EQUAL_TEXT(figures.exhausted, refusals.exhausted, text.c_str());
    CHECK_EQUAL_TEXT(
        figures.refused,
        refusals.nothing_free + refusals.timed_out + refusals.kv_unavailable,
        text.c_str());
    CHECK_TEXT(figures.operations <= c.max_operations, text.c_str());
    CHECK_TEXT(simulation.Used() <= c.limit, text.c_str());
  }
  CHECK(served_most_urgent > served_least_urgent);
}

// Tokens that may not have been used can't be spent, but a caller must not be
// told that they were.
TEST(UsedUpBudget, UnprovenUseIsNotExhausted) {
  MeteredSimulation simulation(1, kFleet, 855'298,
                               MeteredPolicy().outage_cover);
  simulation.Connect();
  simulation.Advance(Millis(1000));
  Load load(7, 10);
  load.LoseConnections();
  load.For(simulation, kFleet, Millis(30'000));
  const Figures figures = FiguresOf(simulation);
  CHECK_EQUAL(0, figures.exhausted);
  CHECK(figures.refused > 0);
  CHECK(simulation.Used() <= simulation.highest_limit());
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

// Guards against requests that are refused at once because no lender had an
// answer from the KV for a moment.
TEST(UsedUpBudget, RequestsOutlastLostAnswersOfTheStore) {
  int64_t refused = 0;
  int64_t affordable = 0;
  std::string text;
  for (uint32_t seed = 1; seed <= 4; ++seed) {
    MeteredSimulation simulation(seed, kFleet, 8'000'000,
                                 MeteredPolicy().outage_cover);
    simulation.Connect();
    simulation.Advance(Millis(1000));
    Load load(seed, 50);
    load.For(simulation, kFleet, Millis(3'000));
    const size_t first = simulation.outcomes().size();
    simulation.faults().lost_answer_percent = 35;
    load.For(simulation, kFleet, Millis(8'000));
    const Figures figures = FiguresOf(simulation, first);
    text += Text("lost answers", figures) + "\n";
    refused += figures.refused_affordable;
    affordable += figures.affordable;
  }
  UT_PRINT(text.c_str());
  // At most one in a hundred of the affordable requests may be refused.
  CHECK_TEXT(refused * 100 <= affordable, text.c_str());
}

// Guards against requests that each wait for their lender although the budget
// is large.
TEST(UsedUpBudget, MostRequestsOfLargeBudgetsAreServedFromALoan) {
  MeteredSimulation simulation(1, kFleet, 40'000'000,
                               MeteredPolicy().outage_cover);
  simulation.Connect();
  simulation.Advance(Millis(1000));
  Load load(7, 50);
  load.For(simulation, kFleet, Millis(3'000));
  const size_t first = simulation.outcomes().size();
  load.For(simulation, kFleet, Millis(10'000));
  int64_t waited = 0;
  int64_t all = 0;
  for (size_t i = first; i < simulation.outcomes().size(); ++i) {
    const ReserveOutcome& outcome = simulation.outcomes()[i];
    ++all;
    waited += outcome.waited > Millis(0) ? 1 : 0;
  }
  const std::string text =
      std::to_string(waited) + " of " + std::to_string(all) + " waited";
  UT_PRINT(text.c_str());
  CHECK_TEXT(all > 0 && 2 * waited < all, text.c_str());
}
