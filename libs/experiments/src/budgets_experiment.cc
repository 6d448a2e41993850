#include "experiments/budgets_experiment.h"

#include <array>
#include <cstdio>
#include <ostream>

#include "budget_workload.h"
#include "budgets_run.h"

namespace godwit::experiments {
namespace {

// Cost of one false refusal per 10,000 requests, and cost of 10,000 tokens of
// overspend.
struct Weights {
  double false_refusals;
  double overspend;
};

constexpr Weights kLanternLine = {10, 1};
constexpr Weights kBrennanDaughters = {1, 10};
constexpr double kOverspendUnit = 10000;

double Cost(const BudgetsResult& result, const Weights& weights) {
  return weights.false_refusals * result.false_per_10000() +
         weights.overspend * static_cast<double>(result.overspend) /
             kOverspendUnit;
}

}  // namespace

std::vector<BudgetsResult> RunBudgets(uint64_t seed) {
  constexpr std::array<SpenderKind, 4> kinds = {
      SpenderKind::kPolicy, SpenderKind::kCasForEach, SpenderKind::kEvenSplit,
      SpenderKind::kFixedGrants};
  std::vector<BudgetsResult> results;
  for (const BudgetWorkload& workload : BudgetWorkloads(seed)) {
    for (const SpenderKind kind : kinds) {
      results.push_back(BudgetsRun(workload, kind, seed).Run());
    }
  }
  return results;
}

void PrintBudgets(const std::vector<BudgetsResult>& results,
                  std::ostream& out) {
  std::array<char, 256> line{};
  const std::string* deployment = nullptr;
  const std::string* workload = nullptr;
  for (const BudgetsResult& result : results) {
    if (deployment == nullptr || *deployment != result.deployment ||
        *workload != result.workload) {
      out << "\n" << result.deployment << ": " << result.workload << "\n";
      std::snprintf(line.data(), line.size(),
                    "  %-21s %8s %8s %9s %9s %9s %9s %8s %8s %7s %7s %9s %9s\n",
                    "version", "requests", "refused", "false/10k", "with KV",
                    "overspend", "stranded", "writes/s", "reads/s", "p50 ms",
                    "p95 ms", "cost L", "cost B");
      out << line.data();
    }
    deployment = &result.deployment;
    workload = &result.workload;
    std::snprintf(
        line.data(), line.size(),
        "  %-21s %8lld %8lld %9.1f %9lld %9lld %9lld %8.1f %8.1f %7.0f %7.0f "
        "%9.1f %9.1f\n",
        result.version.c_str(), static_cast<long long>(result.requests),
        static_cast<long long>(result.refusals), result.false_per_10000(),
        static_cast<long long>(result.false_refusals_kv_up),
        static_cast<long long>(result.overspend),
        static_cast<long long>(result.stranded), result.kv_writes_per_second,
        result.kv_reads_per_second, result.refusal_p50_ms,
        result.refusal_p95_ms, Cost(result, kLanternLine),
        Cost(result, kBrennanDaughters));
    out << line.data();
  }
  out << "\nfalse/10k: refusals for each 10,000 requests that an oracle which "
         "sees everything would have served.\nwith KV: those of them at a "
         "router that reached the KV, with more than 2% of the budget left.\n"
         "cost L weighs false refusals 10 times, cost B overspend (in 10,000 "
         "tokens) 10 times.\n";
}

void PrintBudgetsCsv(const std::vector<BudgetsResult>& results,
                     std::ostream& out) {
  out << "deployment,workload,version,requests,refusals,false_refusals,"
         "false_refusals_kv_up,overspend_tokens,stranded_tokens,"
         "kv_writes_per_second,kv_reads_per_second,refusal_p50_ms,"
         "refusal_p95_ms,cost_lantern_line,cost_brennan_daughters\n";
  for (const BudgetsResult& result : results) {
    out << result.deployment << ',' << result.workload << ',' << result.version
        << ',' << result.requests << ',' << result.refusals << ','
        << result.false_refusals << ',' << result.false_refusals_kv_up << ','
        << result.overspend << ',' << result.stranded << ','
        << result.kv_writes_per_second << ',' << result.kv_reads_per_second
        << ',' << result.refusal_p50_ms << ',' << result.refusal_p95_ms << ','
        << Cost(result, kLanternLine) << ',' << Cost(result, kBrennanDaughters)
        << '\n';
  }
}

}  // namespace godwit::experiments
