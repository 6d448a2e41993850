#ifndef EXPERIMENTS_BUDGETS_EXPERIMENT_H_
#define EXPERIMENTS_BUDGETS_EXPERIMENT_H_

#include <cstdint>
#include <iosfwd>
#include <vector>

#include "experiments/budgets_result.h"

namespace godwit::experiments {

// Runs every spending strategy under every workload of both deployments. The
// same seed gives the same results.
std::vector<BudgetsResult> RunBudgets(uint64_t seed);

// Prints a table for a terminal, with the cost under the weights of both
// deployments.
void PrintBudgets(const std::vector<BudgetsResult>& results, std::ostream& out);

// Prints a CSV header line and one line for each result.
void PrintBudgetsCsv(const std::vector<BudgetsResult>& results,
                     std::ostream& out);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGETS_EXPERIMENT_H_
