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

TEST(BilledOnce, RetriesThroughTheOtherRouterAfterAKill) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "kill", kStreams);
    CHECK(streams.AwaitMidStream());
    fleet.router(0).process->Signal(SIGKILL);
    CHECK(streams.AwaitEnded());
    CHECK_EQUAL(0, streams.answered());
    streams.Hurry();
    CHECK(streams.Retry(1));
    CHECK(streams.AllInFull());
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
    fleet.engine(0).links->Cut();
    fleet.engine(0).links->Restore();
    first.Hurry();
    CHECK(first.AwaitEnded());
    CHECK(second.AwaitEnded());
    CHECK(first.Retry(1));
    CHECK(second.Retry(0));
    CHECK(first.AllInFull());
    CHECK(second.AllInFull());
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
    streams.Hurry();
    CHECK(streams.AwaitEnded());
    CHECK(streams.NoPartAsWhole());
    CHECK(streams.Retry(1));
    CHECK(streams.AllInFull());
    CHECK(fleet.AwaitBilled(streams.usage()));
  });
}
