#include <algorithm>
#include <csignal>
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
using godwit::process::Ticket;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 50'000;
constexpr size_t kTickets = 16;

std::vector<Call> ManyTickets(const std::string& name) {
  std::vector<Call> tickets;
  for (size_t index = 0; index < kTickets; ++index) {
    tickets.push_back(Ticket(name + "-" + std::to_string(index)));
  }
  return tickets;
}

// Sends each call once, concurrently, alternating between the routers.
bool PerformAll(ProcessFleet& fleet, std::vector<Call>& calls) {
  for (size_t index = 0; index < calls.size(); ++index) {
    fleet.Begin(index % 2, calls[index]);
  }
  return Await([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const Call& call) { return call.ended; });
  });
}

int64_t CountNotRun(const std::vector<Call>& calls) {
  return std::count_if(calls.begin(), calls.end(),
                       [](const Call& call) { return call.not_run(); });
}

// Retries until all calls are answered.
bool AnswerAll(ProcessFleet& fleet, std::vector<Call>& calls) {
  for (Call& call : calls) {
    if (!call.answered()) {
      fleet.BeginRetry(0, call);
    }
  }
  return Await([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const Call& call) { return call.answered(); });
  });
}

}  // namespace

TEST_GROUP(NotRun){};

TEST(NotRun, TicketsWhileTheKvIsUnavailable) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    fleet.SetFault(fleet.platform_port(),
                   R"({"outage":true,"keep_leases":true})");
    std::vector<Call> tickets = ManyTickets("outage");
    CHECK(PerformAll(fleet, tickets));
    CHECK_EQUAL(kTickets, CountNotRun(tickets));
    CHECK_EQUAL(0, fleet.Executions());
    fleet.SetFault(fleet.platform_port(), R"({"outage":false})");
    CHECK(AnswerAll(fleet, tickets));
    CHECK_EQUAL(kTickets, fleet.Executions());
    CHECK_EQUAL(1, fleet.MaxExecutionsPerKey());
  });
}

TEST(NotRun, QuestionsBeyondTheBudget) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, 30);
    CHECK(fleet.AwaitReady());
    std::vector<Call> calls;
    for (const char* key : {"a", "b", "c", ""}) {
      calls.push_back(Question("a question of more than that", key));
    }
    CHECK(PerformAll(fleet, calls));
    CHECK_EQUAL(4, CountNotRun(calls));
    CHECK_EQUAL(0, fleet.CountAtEngines("executions"));
    CHECK(fleet.AwaitBilled(0));
  });
}

TEST(NotRun, TicketsAtPausedAgents) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    fleet.service(0).process->Signal(SIGSTOP);
    fleet.service(1).process->Signal(SIGSTOP);
    std::vector<Call> tickets = ManyTickets("paused");
    CHECK(PerformAll(fleet, tickets));
    const int64_t not_run = CountNotRun(tickets);
    fleet.service(0).process->Signal(SIGCONT);
    fleet.service(1).process->Signal(SIGCONT);
    CHECK(fleet.AwaitReady());
    // Once the agents have run new tickets, they have processed the messages
    // received before.
    std::vector<Call> probes = ManyTickets("probe");
    CHECK(AnswerAll(fleet, probes));
    CHECK(fleet.Executions() - static_cast<int64_t>(kTickets) <=
          static_cast<int64_t>(kTickets) - not_run);
    CHECK(AnswerAll(fleet, tickets));
    CHECK_EQUAL(2 * kTickets, fleet.Executions());
    CHECK_EQUAL(1, fleet.MaxExecutionsPerKey());
  });
}
