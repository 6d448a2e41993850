#include "experiments.h"

#include <sstream>

#include "experiments/budgets_experiment.h"
#include "experiments/budgets_result.h"
#include "experiments/routing_experiment.h"

namespace godwit::load {

namespace {

void RunBudgetsExperiment(uint64_t seed, std::ostream& out) {
  const auto results = experiments::RunBudgets(seed);
  experiments::PrintBudgetsCsv(results, out);
  std::stringstream table;
  experiments::PrintBudgets(results, table);
  for (std::string line; std::getline(table, line);) {
    out << "# " << line << '\n';
  }
}

}  // namespace

const std::vector<Experiment>& Experiments() {
  static const std::vector<Experiment> experiments = {
      {"budgets", RunBudgetsExperiment},
      {"routing", experiments::RunRoutingExperiment},
  };
  return experiments;
}

const Experiment* FindExperiment(const std::string& name) {
  for (const Experiment& experiment : Experiments()) {
    if (experiment.name == name) {
      return &experiment;
    }
  }
  return nullptr;
}

}  // namespace godwit::load
