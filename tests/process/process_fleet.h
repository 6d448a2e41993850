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

// Runs `body` on a core of its own. A failed check leaves the core before it
// unwinds the test.
void RunOnCore(const std::function<void(runtime::Runtime&)>& body);

// Blocks the calling fiber until the condition holds; false after 60 s.
bool Await(const std::function<bool()>& condition);

// A fleet as separate processes: two routers and the agents of two engines and
// two plain services in two data centres. Core thread.
class ProcessFleet {
 public:
  // Starts everything and fills the budget; ready() once it serves.
  ProcessFleet(runtime::Runtime& runtime, int64_t limit);
  ~ProcessFleet();

  // Blocks until both routers serve and have their links.
  bool AwaitReady();

  FleetProcess& router(size_t index) { return *routers_.at(index); }
  // The agents of engines.
  FleetProcess& engine(size_t index) { return *engines_.at(index); }
  // The agents of plain services.
  FleetProcess& service(size_t index) { return *services_.at(index); }
  uint16_t platform_port() const { return platform_.port(); }

  // Starts another router, or replaces one whose process has ended.
  void StartRouter(size_t index);

  // Sends a request through a router and blocks until it is over. Returns
  // false if it brought no whole answer with status 200.
  bool Perform(size_t router, Call& call);
  // The same in a fiber of its own; `call` must stay.
  void Begin(size_t router, Call& call);
  // Repeats a call through the routers in turn, beginning with `router`, until
  // it is answered, `is_final` holds, or 60 s are over.
  bool Retry(size_t router,
             Call& call,
             const std::function<bool(const Call&)>& is_final = {});
  // The same in a fiber of its own; `call` must stay.
  void BeginRetry(size_t router,
                  Call& call,
                  std::function<bool(const Call&)> is_final = {});
  // What an engine of its own answers to the body of a chat request.
  std::string CompleteAnswer(const std::string& body);

  // Sends a request to a stand-in or a router's own page; an empty object when
  // it fails.
  nlohmann::json FetchJson(uint16_t port,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = "");
  // Sets faults of a stand-in.
  void SetFault(uint16_t port, const std::string& faults);
  // Sets a fault of both engines.
  void SetEngineFaults(const std::string& faults);
  // Puts all agents on the platform's VM list as live.
  void PublishVms();
  // Sum over both engines of a count in /stats.
  int64_t CountAtEngines(const std::string& name);
  // Most executions of one key, over both services.
  int64_t MaxExecutionsPerKey();
  // Executions over both services.
  int64_t Executions();
  // A router's own report.
  nlohmann::json Status(size_t router);

  // Runs godwitctl; its exit code and output.
  struct Output {
    int exit_code = -1;
    std::string text;
  };
  Output RunTool(const std::string& arguments) const;
  // Runs godwitctl several times side by side.
  std::vector<Output> RunTools(const std::vector<std::string>& arguments) const;
  // `budget show` of the fleet's budget.
  nlohmann::json Budget() const;
  // Blocks until the budget has this much billed and nothing held.
  bool AwaitBilled(int64_t tokens) const;
  // Writes a configuration whose dispatch service has this bound; its path.
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
