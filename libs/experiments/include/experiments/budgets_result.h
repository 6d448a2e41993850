#ifndef EXPERIMENTS_BUDGETS_RESULT_H_
#define EXPERIMENTS_BUDGETS_RESULT_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace godwit::experiments {

// Measures of one way to spend budgets under one workload.
struct BudgetsResult {
  // "lantern-line" or "brennan-daughters".
  std::string deployment;
  // Name of the workload.
  std::string workload;
  // Name of the way to spend.
  std::string version;
  int64_t requests = 0;
  int64_t refusals = 0;
  // Refusals although the oracle saw budget for the request.
  int64_t false_refusals = 0;
  // Those of them at a router that reached the KV, with more than 2% of the
  // budget left.
  int64_t false_refusals_kv_up = 0;
  // Tokens used beyond the budgets.
  base::Tokens overspend = 0;
  // Tokens that no router can spend at the end although nobody used them:
  // held, or set aside for routers that are gone.
  base::Tokens stranded = 0;
  double kv_writes_per_second = 0;
  double kv_reads_per_second = 0;
  double refusal_p50_ms = 0;
  double refusal_p95_ms = 0;

  // False refusals for each 10,000 requests.
  double false_per_10000() const noexcept {
    return requests == 0 ? 0.0
                         : 10000.0 * static_cast<double>(false_refusals) /
                               static_cast<double>(requests);
  }
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGETS_RESULT_H_
