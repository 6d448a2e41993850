#ifndef EXPERIMENTS_BUDGETS_RESULT_H_
#define EXPERIMENTS_BUDGETS_RESULT_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace godwit::experiments {

// Results of one spending strategy under one workload.
struct BudgetsResult {
  // "lantern-line" or "brennan-daughters".
  std::string deployment;
  // Name of the workload.
  std::string workload;
  // Name of the spending strategy.
  std::string version;
  int64_t requests = 0;
  int64_t refusals = 0;
  // Refusals of requests for which, according to the oracle, the budget had
  // enough tokens.
  int64_t false_refusals = 0;
  // False refusals at a router that could reach the KV, while more than 2% of
  // the budget was left.
  int64_t false_refusals_kv_up = 0;
  // Tokens used beyond the budgets.
  base::Tokens overspend = 0;
  // Tokens that no router can spend at the end although they were not used:
  // held, or granted to routers that were removed.
  base::Tokens stranded = 0;
  double kv_writes_per_second = 0;
  double kv_reads_per_second = 0;
  double refusal_p50_ms = 0;
  double refusal_p95_ms = 0;

  // False refusals per 10,000 requests.
  double false_per_10000() const noexcept {
    return requests == 0 ? 0.0
                         : 10000.0 * static_cast<double>(false_refusals) /
                               static_cast<double>(requests);
  }
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGETS_RESULT_H_
