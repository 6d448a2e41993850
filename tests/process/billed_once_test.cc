#include <csignal>

#include "open_streams.h"
#include "process_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::process::OpenStreams;
using godwit::process::ProcessFleet;
using godwit::process::RunOnCore;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 50'000;
constexpr size_t kStreams = 8;

}  // namespace

TEST_GROUP(BilledOnce){};

TEST(BilledOnce, RetriesThroughTheOtherRouterAfterOneIsKilled) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "kill", kStreams);
    CHECK(streams.AwaitMidStream());
    fleet.router(0).process->Signal(SIGKILL);
    CHECK(streams.AwaitEnded());
    CHECK_EQUAL(0, streams.answered());
    streams.ResumeFullSpeed();
    CHECK(streams.Retry(1));
    CHECK(streams.AllComplete());
    CHECK_EQUAL(kStreams, fleet.CountAtEngines("executions"));
    CHECK(fleet.AwaitBilled(streams.usage()));
  });
}

TEST(BilledOnce, RetriesWhileTheFirstCallStillRuns) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams first(fleet, 0, "same", kStreams);
    CHECK(first.AwaitMidStream());
    OpenStreams second(fleet, 1, "same", kStreams);
    CHECK(second.AwaitMidStream());
    fleet.engine(0).links->Disconnect();
    fleet.engine(0).links->Restore();
    first.ResumeFullSpeed();
    CHECK(first.AwaitEnded());
    CHECK(second.AwaitEnded());
    CHECK(first.Retry(1));
    CHECK(second.Retry(0));
    CHECK(first.AllComplete());
    CHECK(second.AllComplete());
    CHECK(fleet.AwaitBilled(first.usage()));
  });
}

TEST(BilledOnce, RunsLostWithTheirAgentAreBilledOnceTheyComplete) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "agent", kStreams);
    CHECK(streams.AwaitMidStream());
    fleet.engine(0).process->Signal(SIGKILL);
    streams.ResumeFullSpeed();
    CHECK(streams.AwaitEnded());
    CHECK(streams.NoPartialMarkedComplete());
    CHECK(streams.Retry(1));
    CHECK(streams.AllComplete());
    CHECK(fleet.AwaitBilled(streams.usage()));
  });
}
