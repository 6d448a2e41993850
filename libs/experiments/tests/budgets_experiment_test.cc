#include <algorithm>
#include <array>
#include <sstream>
#include <string>

#include "budget_workload.h"
#include "budgets_run.h"
#include "experiments/budgets_experiment.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::experiments::BudgetsResult;
using godwit::experiments::BudgetsRun;
using godwit::experiments::BudgetWorkload;
using godwit::experiments::BudgetWorkloads;
using godwit::experiments::PrintBudgets;
using godwit::experiments::PrintBudgetsCsv;
using godwit::experiments::SpenderKind;

TEST_GROUP(BudgetsExperiment){
    // Returns the first 30 s of a workload.
    BudgetWorkload Short(size_t index){
        BudgetWorkload workload = BudgetWorkloads(1)[index];
workload.duration = Millis(30000);
const auto late = [&](const auto& request) {
  return request.at >= workload.duration;
};
auto& requests = workload.requests;
requests.erase(std::find_if(requests.begin(), requests.end(), late),
               requests.end());
return workload;
}
}
;

TEST(BudgetsExperiment, EveryVersionServesAmpleBudgets) {
  for (const SpenderKind kind :
       {SpenderKind::kPolicy, SpenderKind::kCasForEach, SpenderKind::kEvenSplit,
        SpenderKind::kFixedGrants}) {
    const BudgetsResult result = BudgetsRun(Short(0), kind, 1).Run();
    CHECK_TEXT(result.requests > 200, result.version.c_str());
    CHECK_EQUAL_TEXT(0, result.overspend, result.version.c_str());
    CHECK_TEXT(result.false_refusals <= 1, result.version.c_str());
    CHECK_TEXT(result.kv_writes_per_second > 0, result.version.c_str());
  }
}

TEST(BudgetsExperiment, SameSeedSameResult) {
  std::array<std::string, 2> texts;
  for (std::string& text : texts) {
    std::ostringstream out;
    PrintBudgetsCsv({BudgetsRun(Short(3), SpenderKind::kPolicy, 7).Run()}, out);
    text = out.str();
  }
  CHECK(texts[0] == texts[1]);
}

TEST(BudgetsExperiment, PrintsOneLineForEachResult) {
  std::ostringstream text;
  std::ostringstream csv;
  const BudgetsResult result =
      BudgetsRun(Short(0), SpenderKind::kPolicy, 1).Run();
  PrintBudgets({result}, text);
  PrintBudgetsCsv({result}, csv);
  CHECK(text.str().find("policy") != std::string::npos);
  CHECK(csv.str().find("lantern-line,steady,policy,") != std::string::npos);
}
