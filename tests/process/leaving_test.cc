#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/millis.h"
#include "call.h"
#include "open_streams.h"
#include "process_fleet.h"
#include "runtime/runtime.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::process::Call;
using godwit::process::FleetProcess;
using godwit::process::OpenStreams;
using godwit::process::ProcessFleet;
using godwit::process::Question;
using godwit::process::RunOnCore;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 50'000;
constexpr size_t kStreams = 8;
constexpr size_t kLaterQuestions = 24;
// Time after which a leaving agent receives no new work.
constexpr Millis kLeavingBound = godwit::base::Seconds(3);

int64_t ExecutionsAt(ProcessFleet& fleet, const FleetProcess& agent) {
  return fleet.FetchJson(agent.backend->port(), "GET", "/stats")
      .value("executions", int64_t{-1});
}

}  // namespace

TEST_GROUP(Leaving){};

TEST(Leaving, LeavingAgentGetsNoNewWorkWhileTheVmListLags) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    // The VM list shows the agent as live throughout the test.
    fleet.PublishVms();
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "open", kStreams);
    CHECK(streams.AwaitMidStream());
    // Routers choose at random; the test stops an agent that has streams.
    const size_t leaving_index =
        ExecutionsAt(fleet, fleet.engine(0)) > 0 ? 0 : 1;
    FleetProcess& leaving = fleet.engine(leaving_index);
    CHECK(ExecutionsAt(fleet, leaving) > 0);
    leaving.process->Signal(SIGTERM);
    Runtime::SleepFor(kLeavingBound);
    const int64_t at_bound = ExecutionsAt(fleet, leaving);
    // The streams of the leaving agent stay slow, so that it is still running
    // and its backend server can be queried.
    fleet.SetFault(fleet.engine(1 - leaving_index).backend->port(),
                   R"({"speed":1.0})");
    for (size_t index = 0; index < kLaterQuestions; ++index) {
      Call call = Question("later " + std::to_string(index), "");
      CHECK(fleet.Perform(index % 2, call));
    }
    CHECK_EQUAL(at_bound, ExecutionsAt(fleet, leaving));
    streams.ResumeFullSpeed();
    CHECK(streams.AwaitEnded());
    CHECK(streams.AllComplete());
    CHECK_EQUAL(0, leaving.process->Wait());
  });
}
