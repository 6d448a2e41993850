#ifndef EXPERIMENTS_BUDGET_WORKLOAD_H_
#define EXPERIMENTS_BUDGET_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::experiments {

// A request as sent by a caller.
struct BudgetRequest {
  base::Millis at;
  base::BudgetId budget;
  // Reserved worst case, actual bill and duration of the run.
  base::Tokens amount = 0;
  base::Tokens bill = 0;
  base::Millis length;
};

// A seeded sequence of requests and faults over the budgets of a deployment.
struct BudgetWorkload {
  std::string deployment;
  std::string name;
  base::Millis duration;
  std::vector<BudgetRequest> requests;
  // Initial limits, in the order of BudgetNames().
  std::vector<base::Tokens> limits;
  // Part of each limit that is already billed at the start, in percent.
  int billed_percent = 0;
  // Period in which the KV is unavailable or some routers are partitioned from
  // it.
  base::Millis outage_from;
  base::Millis outage_to;
  // Routers that are partitioned from the KV during the outage; if all are, the
  // KV is unavailable.
  int partitioned_routers = 0;
  // When the limit of each budget is doubled; zero for never.
  base::Millis top_up_at;
  // Time between losses of a router; zero for none.
  base::Millis loss_period;
};

// Budgets of both deployments.
std::vector<base::BudgetId> BudgetNames();

// All workloads of both deployments.
std::vector<BudgetWorkload> BudgetWorkloads(uint64_t seed);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGET_WORKLOAD_H_
