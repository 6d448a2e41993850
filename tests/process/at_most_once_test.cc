#include <algorithm>
#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "call.h"
#include "process_fleet.h"
#include "runtime/runtime.h"

#include <CppUTest/TestHarness.h>

using godwit::process::Await;
using godwit::process::Call;
using godwit::process::ProcessFleet;
using godwit::process::RunOnCore;
using godwit::process::Ticket;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 50'000;
constexpr size_t kTickets = 16;

bool IsUnknown(const Call& call) {
  return call.error_kind() == "outcome_unknown";
}

bool AllEnded(const std::vector<Call>& calls) {
  return std::all_of(calls.begin(), calls.end(),
                     [](const Call& call) { return call.ended; });
}

std::vector<Call> ManyTickets() {
  std::vector<Call> tickets;
  for (size_t index = 0; index < kTickets; ++index) {
    tickets.push_back(Ticket("ticket-" + std::to_string(index)));
  }
  return tickets;
}

void SetServiceFaults(ProcessFleet& fleet, const std::string& faults) {
  fleet.SetFault(fleet.service(0).backend->port(), faults);
  fleet.SetFault(fleet.service(1).backend->port(), faults);
}

// Sends each ticket once more and blocks until all exchanges have ended.
bool CallAgain(ProcessFleet& fleet, size_t router, std::vector<Call>& tickets) {
  std::vector<Call> again = tickets;
  for (Call& ticket : again) {
    ticket.ended = false;
    fleet.Begin(router, ticket);
  }
  return Await([&] { return AllEnded(again); });
}

}  // namespace

TEST_GROUP(AtMostOnce){};

TEST(AtMostOnce, TicketsUnderFaults) {
  struct Case {
    std::string name;
    std::string service_faults;
    // Injected while tickets run.
    std::function<void(ProcessFleet&)> fault;
    // Applied after each ticket was sent again.
    std::function<void(ProcessFleet&)> late;
  };
  const auto nothing = [](ProcessFleet&) {};
  const std::vector<Case> cases = {
      {"answers lost, router killed",
       R"({"delay_ms":100,"close_after_execution":4})",
       [](ProcessFleet& fleet) { fleet.router(0).process->Signal(SIGKILL); },
       nothing},
      {"agent killed", R"({"delay_ms":100})",
       [](ProcessFleet& fleet) { fleet.service(0).process->Signal(SIGKILL); },
       nothing},
      {"agent paused, links stalled", R"({"delay_ms":100})",
       [](ProcessFleet& fleet) {
         fleet.service(0).process->Signal(SIGSTOP);
         fleet.service(1).links->Stall();
       },
       [](ProcessFleet& fleet) { fleet.service(0).process->Signal(SIGCONT); }},
      {"router paused, answers of the KV lost", R"({"delay_ms":100})",
       [](ProcessFleet& fleet) {
         fleet.SetFault(fleet.platform_port(), R"({"lose_answers":3})");
         fleet.router(0).process->Signal(SIGSTOP);
       },
       [](ProcessFleet& fleet) { fleet.router(0).process->Signal(SIGCONT); }},
  };
  for (const Case& c : cases) {
    RunOnCore([&c](Runtime& runtime) {
      ProcessFleet fleet(runtime, kLimit);
      CHECK_TEXT(fleet.AwaitReady(), c.name.c_str());
      SetServiceFaults(fleet, c.service_faults);
      std::vector<Call> tickets = ManyTickets();
      for (Call& ticket : tickets) {
        fleet.Begin(0, ticket);
      }
      CHECK_TEXT(Await([&] { return fleet.Executions() > 0; }), c.name.c_str());
      c.fault(fleet);
      CHECK_TEXT(CallAgain(fleet, 1, tickets), c.name.c_str());
      c.late(fleet);
      CHECK_TEXT(Await([&] { return AllEnded(tickets); }), c.name.c_str());
      CHECK_TEXT(CallAgain(fleet, 1, tickets), c.name.c_str());
      CHECK_EQUAL_TEXT(1, fleet.MaxExecutionsPerKey(), c.name.c_str());
    });
  }
}

TEST(AtMostOnce, RetriesEndWithTheOutcome) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    SetServiceFaults(fleet, R"({"delay_ms":100,"close_after_execution":2})");
    std::vector<Call> tickets = ManyTickets();
    for (Call& ticket : tickets) {
      fleet.BeginRetry(0, ticket, IsUnknown);
    }
    CHECK(Await([&] {
      return std::all_of(tickets.begin(), tickets.end(), [](const Call& call) {
        return call.answered() || IsUnknown(call);
      });
    }));
    // Only the tickets whose answer the service lost have an unknown outcome.
    CHECK_EQUAL(4, std::count_if(tickets.begin(), tickets.end(), IsUnknown));
    CHECK(CallAgain(fleet, 1, tickets));
    CHECK_EQUAL(kTickets, fleet.Executions());
    CHECK_EQUAL(1, fleet.MaxExecutionsPerKey());
  });
}
