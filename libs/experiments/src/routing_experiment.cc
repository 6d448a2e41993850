#include "experiments/routing_experiment.h"

#include <algorithm>
#include <iomanip>
#include <vector>

#include "routing_run.h"

namespace godwit::experiments {

namespace {

constexpr double kDesignLoad = 0.6;
constexpr double kSurgeLoad = 1.2;
// Long logs cost more work each, so that fewer arrivals use the capacity of the
// fleet.
constexpr double kManyLogsLoad = 0.5;
constexpr int64_t kManyLogsPercent = 15;
constexpr double kTtftTargetMs = 650;
constexpr double kGapTargetMs = 31;

struct Arm {
  const char* name;
  Policy policy;
  QueueOrder order;
  bool preempts_prefill;
};

const std::vector<Arm>& Arms() {
  static const std::vector<Arm> arms = {
      {"policy", Policy::kPicker, QueueOrder::kPriority, false},
      {"round-robin", Policy::kRoundRobin, QueueOrder::kPriority, false},
      {"least-in-flight", Policy::kLeastInFlight, QueueOrder::kPriority, false},
      {"policy-shortest-first", Policy::kPicker, QueueOrder::kShortestPrefill,
       false},
      {"policy-preempted-prefill", Policy::kPicker,
       QueueOrder::kShortestPrefill, true},
  };
  return arms;
}

std::vector<RoutingScenario> Scenarios() {
  RoutingScenario steady;
  steady.name = "steady";
  steady.load = kDesignLoad;
  RoutingScenario surge = steady;
  surge.name = "surge";
  surge.surge_load = kSurgeLoad;
  RoutingScenario slow = steady;
  slow.name = "slow-engine";
  slow.first_engine_slowness = 3;
  RoutingScenario late = steady;
  late.name = "late-reports";
  late.report_delay = base::Seconds(5);
  RoutingScenario lost = steady;
  lost.name = "data-centre-lost";
  lost.loses_data_centre = true;
  RoutingScenario logs = steady;
  logs.name = "many-logs";
  logs.load = kManyLogsLoad;
  logs.logs_percent = kManyLogsPercent;
  return {steady, surge, slow, late, lost, logs};
}

void WriteRow(std::ostream& out,
              const char* scenario,
              const char* arm,
              const RoutingMeasures& m) {
  out << scenario << ',' << arm << std::fixed << std::setprecision(1) << ','
      << m.ttft_p50_ms << ',' << m.ttft_p95_ms << ',' << m.ttft_p99_ms << ','
      << m.gap_p50_ms << ',' << m.gap_p95_ms << std::setprecision(4);
  for (const double share : m.goodput) {
    out << ',' << share;
  }
  out << ',' << m.goodput_all << ',' << m.prefix_hit << ',' << m.refused << ','
      << m.expired << ',' << m.refused_with_room << ',' << m.arrivals << '\n';
}

// Writes the ratio of the policy's p95 to that of the better naive strategy,
// and whether it meets the target.
void WriteTarget(std::ostream& out,
                 const char* scenario,
                 const std::vector<RoutingMeasures>& measures,
                 double max_ratio) {
  const double naive =
      std::min(measures[1].ttft_p95_ms, measures[2].ttft_p95_ms);
  const double ratio = measures[0].ttft_p95_ms / std::max(naive, 1e-9);
  out << "# " << scenario << ": p95 to the first token " << std::fixed
      << std::setprecision(2) << ratio
      << " of the better naive version; target at most " << max_ratio << ": "
      << (ratio <= max_ratio ? "met" : "not met") << '\n';
}

}  // namespace

void RunRoutingExperiment(uint64_t seed, std::ostream& out) {
  const double capacity = MeasureCapacity(seed);
  out << "# capacity " << std::fixed << std::setprecision(1) << capacity
      << " requests a second; load " << kDesignLoad << ", surge " << kSurgeLoad
      << " of it; seed " << seed << '\n'
      << "scenario,arm,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,gap_p50_ms,"
         "gap_p95_ms,goodput_quotes,goodput_chat,goodput_logs,goodput,"
         "prefix_hit,refused,expired,refused_with_room,arrivals\n";
  std::vector<std::vector<RoutingMeasures>> measures;
  for (RoutingScenario scenario : Scenarios()) {
    measures.emplace_back();
    for (const Arm& arm : Arms()) {
      scenario.order = arm.order;
      scenario.preempts_prefill = arm.preempts_prefill;
      measures.back().push_back(
          RunScenario(scenario, arm.policy, capacity, seed));
      WriteRow(out, scenario.name, arm.name, measures.back().back());
    }
  }
  WriteTarget(out, "steady", measures[0], 1.0);
  WriteTarget(out, "surge", measures[1], 0.7);
  WriteTarget(out, "slow-engine", measures[2], 0.7);
  const RoutingMeasures& steady = measures[0][0];
  const bool met =
      steady.ttft_p95_ms <= kTtftTargetMs && steady.gap_p95_ms <= kGapTargetMs;
  out << "# design load: p95 to the first token " << std::setprecision(1)
      << steady.ttft_p95_ms << " ms (target 650), between tokens "
      << steady.gap_p95_ms << " ms (target 31): " << (met ? "met" : "not met")
      << '\n';
}

}  // namespace godwit::experiments
