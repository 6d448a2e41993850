#ifndef PROCESS_PROCESS_FLEET_H_
#define PROCESS_PROCESS_FLEET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "call.h"
#include "fleet_process.h"
#include "support/test_directory.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::process {

// Runs `body` on a core of its own. A failed check is rethrown on the calling
// thread after the core has stopped.
void RunOnCore(const std::function<void(runtime::Runtime&)>& body);

// Blocks the calling fiber until the condition holds; returns false after 60 s.
bool Await(const std::function<bool()>& condition);

// A fleet of separate processes: two routers, and the agents of two engines and
// two plain services, in two data centres. Core thread.
class ProcessFleet {
 public:
  // Starts all processes and creates the budget with `limit` tokens.
  // AwaitReady() blocks until the fleet serves.
  ProcessFleet(runtime::Runtime& runtime, int64_t limit);
  ~ProcessFleet();

  // Blocks until all routers are ready and have links to the four agents.
  bool AwaitReady();

  FleetProcess& router(size_t index) { return *routers_.at(index); }
  // The agents of engines.
  FleetProcess& engine(size_t index) { return *engines_.at(index); }
  // The agents of plain services.
  FleetProcess& service(size_t index) { return *services_.at(index); }
  uint16_t platform_port() const { return platform_.port(); }

  // Starts another router, or replaces one whose process has ended.
  void StartRouter(size_t index);

  // Sends a request through a router and blocks until the exchange is over.
  // Returns true if the answer is complete and has status 200.
  bool Perform(size_t router, Call& call);
  // As above, in a new fiber; `call` must outlive it.
  void Begin(size_t router, Call& call);
  // Repeats a call through the routers in turn, starting with `router`, until
  // it is answered, `is_final` holds, or 60 s have passed.
  bool Retry(size_t router,
             Call& call,
             const std::function<bool(const Call&)>& is_final = {});
  // As above, in a new fiber; `call` must outlive it.
  void BeginRetry(size_t router,
                  Call& call,
                  std::function<bool(const Call&)> is_final = {});
  // The answer of a separate reference engine to the body of a chat request.
  std::string CompleteAnswer(const std::string& body);

  // Sends a request to a stand-in or to the status page of a router and returns
  // the JSON object of the answer; an empty object on failure.
  nlohmann::json FetchJson(uint16_t port,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = "");
  // Sets faults of a stand-in.
  void SetFault(uint16_t port, const std::string& faults);
  // Sets faults of both engines.
  void SetEngineFaults(const std::string& faults);
  // Lists all agents as live in the platform's VM list.
  void PublishVms();
  // Sum of a count in /stats over both engines.
  int64_t CountAtEngines(const std::string& name);
  // Largest number of executions of one key, summed over both services.
  int64_t MaxExecutionsPerKey();
  // Number of executions, summed over both services.
  int64_t Executions();
  // Status page of a router.
  nlohmann::json Status(size_t router);

  // Result of a run of godwitctl.
  struct Output {
    int exit_code = -1;
    std::string text;
  };
  Output RunTool(const std::string& arguments) const;
  // Runs godwitctl several times concurrently.
  std::vector<Output> RunTools(const std::vector<std::string>& arguments) const;
  // Output of `budget show` for the budget of the fleet.
  nlohmann::json Budget() const;
  // Blocks until this number of tokens is billed and none is held; returns
  // false after 60 s.
  bool AwaitBilled(int64_t tokens) const;
  // Writes a configuration with this `max_running` for the dispatch service;
  // returns its path.
  std::string ConfigFile(int64_t max_running) const;

 private:
  std::unique_ptr<FleetProcess> NewProcess(const std::string& name,
                                           const std::string& data_centre);
  std::unique_ptr<FleetProcess> StartAgent(const std::string& name,
                                           const std::string& data_centre,
                                           const std::string& kind,
                                           const std::string& stand_in);
  std::string CommandLine(const std::string& arguments) const;

  runtime::Runtime& runtime_;
  support::TestDirectory directory_;
  support::ChildProcess platform_;
  support::ChildProcess reference_engine_;
  std::vector<std::unique_ptr<FleetProcess>> engines_;
  std::vector<std::unique_ptr<FleetProcess>> services_;
  std::vector<std::unique_ptr<FleetProcess>> routers_;
};

}  // namespace godwit::process

#endif  // PROCESS_PROCESS_FLEET_H_
