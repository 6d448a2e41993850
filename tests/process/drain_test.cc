#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "open_streams.h"
#include "process_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::process::Await;
using godwit::process::Call;
using godwit::process::OpenStreams;
using godwit::process::ProcessFleet;
using godwit::process::Question;
using godwit::process::RunOnCore;
using godwit::process::Ticket;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 50'000;
constexpr size_t kStreams = 8;
constexpr int64_t kTicketCost = 5;

}  // namespace

TEST_GROUP(Drain){};

TEST(Drain, StoppedRouterFinishesItsStreams) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "open", kStreams);
    CHECK(streams.AwaitMidStream());
    fleet.router(0).process->Signal(SIGTERM);
    CHECK(Await([&] { return fleet.Status(0).value("leaving", false); }));
    // The router accepts requests until the grace period after SIGTERM is over.
    Call late = Ticket("");
    int64_t taken = 0;
    CHECK(Await([&] {
      const bool answered = fleet.Perform(0, late);
      taken += answered ? 1 : 0;
      return !answered;
    }));
    CHECK(late.not_run());
    CHECK_EQUAL(taken, fleet.Executions());
    CHECK(fleet.Perform(1, late));
    streams.ResumeFullSpeed();
    CHECK(streams.AwaitEnded());
    CHECK(streams.AllComplete());
    CHECK_EQUAL(0, fleet.router(0).process->Wait());
    CHECK(fleet.AwaitBilled(streams.usage() + (taken + 1) * kTicketCost));
  });
}

TEST(Drain, StoppedAgentFinishesItsStreams) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "open", kStreams);
    CHECK(streams.AwaitMidStream());
    fleet.engine(0).process->Signal(SIGTERM);
    streams.ResumeFullSpeed();
    CHECK(streams.AwaitEnded());
    CHECK(streams.AllComplete());
    CHECK_EQUAL(kStreams, fleet.CountAtEngines("executions"));
    CHECK_EQUAL(0, fleet.engine(0).process->Wait());
    Call next = Question("who answers after that", "next");
    CHECK(fleet.Retry(0, next));
    CHECK(fleet.AwaitBilled(streams.usage() + next.usage()));
  });
}

TEST(Drain, RouterAndAgentStopAtOnce) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    OpenStreams streams(fleet, 0, "open", kStreams);
    CHECK(streams.AwaitMidStream());
    fleet.engine(0).process->Signal(SIGTERM);
    fleet.router(0).process->Signal(SIGTERM);
    streams.ResumeFullSpeed();
    CHECK(streams.AwaitEnded());
    CHECK(streams.AllComplete());
    CHECK_EQUAL(0, fleet.router(0).process->Wait());
    CHECK_EQUAL(0, fleet.engine(0).process->Wait());
    CHECK(fleet.AwaitBilled(streams.usage()));
  });
}
