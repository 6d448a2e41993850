#include <algorithm>
#include <vector>

#include "call.h"
#include "process_fleet.h"
#include "runtime/runtime.h"

#include <CppUTest/TestHarness.h>

using godwit::process::Await;
using godwit::process::Call;
using godwit::process::IsExhausted;
using godwit::process::IsFinished;
using godwit::process::ManyQuestions;
using godwit::process::ProcessFleet;
using godwit::process::RunOnCore;
using godwit::process::TotalUsage;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 2000;
// Together they request more than twice the limit.
constexpr size_t kCalls = 100;

}  // namespace

TEST_GROUP(NearLimit){};

// Callers compete through two routers for the remaining tokens of a budget.
TEST(NearLimit, EachCallIsAnsweredOrFindsTheBudgetExhausted) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    std::vector<Call> calls = ManyQuestions(kCalls);
    for (size_t index = 0; index < kCalls; ++index) {
      fleet.BeginRetry(index % 2, calls[index], IsExhausted);
    }
    CHECK(Await(
        [&] { return std::all_of(calls.begin(), calls.end(), IsFinished); }));
    CHECK(fleet.AwaitBilled(TotalUsage(calls)));
  });
}
