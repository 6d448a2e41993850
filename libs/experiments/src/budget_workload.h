#ifndef EXPERIMENTS_BUDGET_WORKLOAD_H_
#define EXPERIMENTS_BUDGET_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::experiments {

// A request as its users send it.
struct BudgetRequest {
  base::Millis at;
  base::BudgetId budget;
  // Worst case, true bill and length of the run.
  base::Tokens amount = 0;
  base::Tokens bill = 0;
  base::Millis length;
};

// A seeded course of requests and faults over the budgets of a deployment.
struct BudgetWorkload {
  std::string deployment;
  std::string name;
  base::Millis duration;
  std::vector<BudgetRequest> requests;
  // Limits at the start, in the order of BudgetNames().
  std::vector<base::Tokens> limits;
  // Part of each limit that was billed before.
  int billed_percent = 0;
  // When the KV is down, or some routers are cut from it.
  base::Millis outage_from;
  base::Millis outage_to;
  // Routers cut from the KV during the outage; all of them: it is down.
  int partitioned_routers = 0;
  // When each budget is doubled; zero: never.
  base::Millis top_up_at;
  // Time between losses of a router; zero: none.
  base::Millis loss_period;
};

// Budgets of both deployments.
std::vector<base::BudgetId> BudgetNames();

// All workloads of both deployments.
std::vector<BudgetWorkload> BudgetWorkloads(uint64_t seed);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGET_WORKLOAD_H_
