#include <algorithm>
#include <string>
#include <vector>

#include "call.h"
#include "process_fleet.h"
#include "runtime/runtime.h"

#include <CppUTest/TestHarness.h>

using godwit::process::Await;
using godwit::process::Call;
using godwit::process::ProcessFleet;
using godwit::process::Question;
using godwit::process::RunOnCore;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 2000;
// Together they ask for more than twice the limit.
constexpr size_t kCalls = 100;

bool IsExhausted(const Call& call) {
  return call.error_kind() == "budget_exhausted" && call.not_run();
}

bool IsOver(const Call& call) {
  return call.answered() || IsExhausted(call);
}

int64_t TotalUsage(const std::vector<Call>& calls) {
  int64_t sum = 0;
  for (const Call& call : calls) {
    sum += call.answered() ? call.usage() : 0;
  }
  return sum;
}

std::vector<Call> ManyQuestions() {
  std::vector<Call> calls;
  for (size_t index = 0; index < kCalls; ++index) {
    const std::string key = "question-" + std::to_string(index);
    calls.push_back(Question(key, key));
  }
  return calls;
}

}  // namespace

TEST_GROUP(NearLimit){};

// Callers compete through two routers for the last of a budget.
TEST(NearLimit, EachCallIsAnsweredOrFindsTheBudgetExhausted) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    std::vector<Call> calls = ManyQuestions();
    for (size_t index = 0; index < kCalls; ++index) {
      fleet.BeginRetry(index % 2, calls[index], IsExhausted);
    }
    CHECK(
        Await([&] { return std::all_of(calls.begin(), calls.end(), IsOver); }));
    CHECK(fleet.AwaitBilled(TotalUsage(calls)));
  });
}
