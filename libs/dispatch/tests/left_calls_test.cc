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

// Load: callers that give up before their answers begin. A server may run what
// was sent to it, whether its connection is closed or not, so that nothing of
// it is given back to the budget.
TEST(LeftCalls, CallersThatLeaveGetTokensBackThoughTheirRequestsMayRun) {
  struct Case {
    const char* name;
    const char* route;
    // The server streams an answer to another caller, and the prompt is long.
    bool is_busy;
    bool is_unresponsive;
    int64_t left_after;
  };
  const Case cases[] = {
      {"left at once", "chat", false, false, 10},
      {"left after the answer began", "chat", false, false, 300},
      {"left while the server served another caller", "chat", true, false, 400},
      {"left a server from which nothing came", "chat", false, true, 400},
      {"a request that does not show when it begins to run", "order", false,
       false, 1},
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
    CHECK_TEXT(simulation.outcome(call).may_have_run, c.name);
  }
}
