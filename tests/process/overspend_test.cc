#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
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
constexpr size_t kFirstAnswers = 5;

bool WithinLimit(const nlohmann::json& budget) {
  const int64_t spent =
      budget.at("billed").get<int64_t>() + budget.at("held").get<int64_t>();
  return spent <= kLimit && budget.at("free").get<int64_t>() >= 0;
}

// Number of grants that a router holds in the record of the budget.
int64_t GrantsOf(const nlohmann::json& budget, const std::string& router) {
  const auto& grants = budget.at("grants");
  return std::count_if(
      grants.begin(), grants.end(), [&](const nlohmann::json& grant) {
        return grant.at("holder").get<std::string>().rfind(router, 0) == 0;
      });
}

// Waits for some calls to finish. Then the KV is unavailable for a moment,
// router 0 is killed, and router 1 is paused until a third router has closed
// the grants of both.
void KillOneRouterPauseOneAndInterruptTheKv(ProcessFleet& fleet,
                                            const std::vector<Call>& calls) {
  CHECK(Await([&] {
    return std::count_if(calls.begin(), calls.end(), IsFinished) >=
           static_cast<int64_t>(kFirstAnswers);
  }));
  fleet.SetFault(fleet.platform_port(), R"({"outage":true})");
  fleet.router(0).process->Signal(SIGKILL);
  fleet.router(1).process->Signal(SIGSTOP);
  fleet.SetFault(fleet.platform_port(), R"({"outage":false})");
  CHECK(WithinLimit(fleet.Budget()));
  fleet.StartRouter(2);
  // The new router closes the grants of the other two.
  CHECK(Await([&] {
    const auto budget = fleet.Budget();
    return GrantsOf(budget, "router-0") + GrantsOf(budget, "router-1") == 0;
  }));
  CHECK(WithinLimit(fleet.Budget()));
  fleet.router(1).process->Signal(SIGCONT);
}

}  // namespace

TEST_GROUP(Overspend){};

TEST(Overspend, NeverWithRoutersKilledAndPausedAndTheKvUnavailable) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    std::vector<Call> calls = ManyQuestions(kCalls);
    bool is_late = false;
    const auto is_final = [&is_late](const Call& call) {
      return IsExhausted(call) || (is_late && call.not_run());
    };
    for (size_t index = 0; index < kCalls; ++index) {
      fleet.BeginRetry(index % 2, calls[index], is_final);
    }
    KillOneRouterPauseOneAndInterruptTheKv(fleet, calls);
    CHECK(Await([&] { return TotalUsage(calls) > kLimit / 2; }));
    is_late = true;
    CHECK(Await([&] {
      return std::all_of(calls.begin(), calls.end(), [](const Call& call) {
        return call.answered() || call.not_run();
      });
    }));
    CHECK(WithinLimit(fleet.Budget()));
    CHECK(TotalUsage(calls) <= kLimit);
    CHECK(fleet.AwaitBilled(TotalUsage(calls)));
  });
}

TEST_GROUP(OverspendStrict){};

// No call fails before the budget is exhausted.
TEST(OverspendStrict, EachCallIsAnsweredOrFindsTheBudgetExhausted) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    std::vector<Call> calls = ManyQuestions(kCalls);
    for (size_t index = 0; index < kCalls; ++index) {
      fleet.BeginRetry(index % 2, calls[index], IsExhausted);
    }
    KillOneRouterPauseOneAndInterruptTheKv(fleet, calls);
    CHECK(Await(
        [&] { return std::all_of(calls.begin(), calls.end(), IsFinished); }));
    CHECK(fleet.AwaitBilled(TotalUsage(calls)));
  });
}
