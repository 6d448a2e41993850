// What is billed for calls whose callers leave.
#include <string>
#include <vector>

#include "dispatch_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::dispatch::CallId;
using godwit::dispatch::DispatchSimulation;
using godwit::dispatch::ModelServer;

TEST_GROUP(LeftCalls){};

// Load: callers that give up before their answers begin. Their prompts are not
// billed if the server has certainly not begun to run them.
TEST(LeftCalls, BillsCallersThatLeaveForWhatMayHaveRun) {
  struct Case {
    const char* name;
    const char* route;
    // The server streams an answer to another caller, and the prompt is long.
    bool is_busy;
    bool is_unresponsive;
    int64_t left_after;
    bool may_have_run;
  };
  const Case cases[] = {
      {"left at once", "chat", false, false, 10, false},
      {"left after the answer began", "chat", false, false, 300, true},
      {"left while the server served another caller", "chat", true, false, 400,
       false},
      {"left a server from which nothing came", "chat", false, true, 400, true},
      {"a request that does not show when it begins to run", "order", false,
       false, 1, true},
  };
  for (const Case& c : cases) {
    std::vector<ModelServer::Options> servers = {ModelServer::Options()};
    if (std::string(c.route) == "order") {
      servers.front().service = "plain";
    }
    DispatchSimulation simulation({}, servers);
    if (c.is_busy) {
      simulation.Arrive("chat", 100, 400, 6, 200);
      simulation.Advance(Millis(200));
    }
    if (c.is_unresponsive) {
      simulation.server(0).SetFault(ModelServer::Fault::kUnresponsive);
    }
    const CallId call =
        simulation.Arrive(c.route, 100, c.is_busy ? 40'000 : 400, 7, 20);
    simulation.Advance(Millis(c.left_after));
    simulation.Disconnect(call);
    CHECK_TEXT(simulation.outcome(call).ended, c.name);
    CHECK_EQUAL_TEXT(c.may_have_run, simulation.outcome(call).may_have_run,
                     c.name);
  }
}
