#ifndef EXPERIMENTS_BUDGETS_EXPERIMENT_H_
#define EXPERIMENTS_BUDGETS_EXPERIMENT_H_

#include <cstdint>
#include <iosfwd>
#include <vector>

#include "experiments/budgets_result.h"

namespace godwit::experiments {

// Runs every way to spend under every workload of both deployments. The same
// seed gives the same results.
std::vector<BudgetsResult> RunBudgets(uint64_t seed);

// A table for a terminal, with the cost under both users' weightings.
void PrintBudgets(const std::vector<BudgetsResult>& results, std::ostream& out);

// One line for each result, after a line of column names.
void PrintBudgetsCsv(const std::vector<BudgetsResult>& results,
                     std::ostream& out);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_BUDGETS_EXPERIMENT_H_
