#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "base/clocks.h"
#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "support/child_process.h"
#include "support/test_directory.h"
#include "support/tool_run.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::Seconds;
using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::support::ChildProcess;
using godwit::support::RunTool;
using godwit::support::TestDirectory;
using godwit::support::ToolRun;
using nlohmann::json;

namespace {

// Time within which an accepted configuration must be in force at every
// process.
constexpr Millis kPropagationTimeout = Seconds(15);
constexpr Millis kPollPause(50);

std::string Address(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A platform, a plain service behind two agents, and two routers.
class Fleet {
 public:
  Fleet() : platform_("standin-platform", {}), service_("standin-service", {}) {
    StartAgent("agent-1", "keelung");
    StartAgent("agent-2", "hsinchu");
    StartRouter("router-1");
    StartRouter("router-2");
  }

  ChildProcess& process(const std::string& name) { return *processes_[name]; }

  void StartRouter(const std::string& name) {
    Start("godwit-router", name, "keelung", "listen_port: 0\n");
    last_revision_[name] = 0;
  }

  // Writes a configuration that `max_running` distinguishes from others;
  // returns its path.
  std::string WriteConfig(int max_running) {
    return Write("config-" + std::to_string(max_running),
                 "services:\n  crew: {kind: plain, backend_servers: [agent-1, "
                 "agent-2], max_running: " +
                     std::to_string(max_running) +
                     "}\norganisations:\n  acme: {budget: acme, "
                     "api_key_hashes: []}\n");
  }

  ToolRun Ctl(const std::string& arguments) const {
    return RunTool(
        "godwitctl",
        "--json --platform " + Address(platform_.port()) + " " + arguments);
  }

  // Applies a configuration; returns the accepted revision, or 0 on failure.
  int64_t Apply(int max_running, int64_t expected) {
    const ToolRun run = Ctl("config apply " + WriteConfig(max_running) +
                            " --expect " + std::to_string(expected));
    const json answer = json::parse(run.output, nullptr, false);
    return run.exit_code == 0 ? answer.at("revision").get<int64_t>() : 0;
  }

  void SetFaults(const std::string& faults) {
    core_.Call<bool>([&] {
      ClientPool pool(core_.runtime(), "127.0.0.1", platform_.port());
      ClientCall call(pool, {"POST", "/fault", {}, faults});
      return call.Perform().has_value();
    });
  }

  // Returns the revision in force at a router; 0 if it does not answer. Fails
  // the test if the revision is lower than before.
  int64_t Revision(const std::string& router) {
    const std::string body = core_.Call<std::string>([&] {
      ClientPool pool(core_.runtime(), "127.0.0.1", process(router).port());
      ClientCall call(pool, {"GET", "/status", {}, ""});
      call.TotalTimeout(Seconds(1));
      const auto response = call.Perform();
      return response ? response->body : std::string();
    });
    const json status = json::parse(body, nullptr, false);
    if (!status.is_object()) {
      return 0;
    }
    const auto revision = status.at("config_revision").get<int64_t>();
    CHECK_TEXT(revision >= last_revision_[router],
               "the configuration revision of a router decreased");
    last_revision_[router] = revision;
    return revision;
  }

  // Blocks until the router has that revision; returns false after
  // kPropagationTimeout.
  bool AwaitRevision(const std::string& router, int64_t revision) {
    const Millis limit = godwit::base::SteadyNow() + kPropagationTimeout;
    while (Revision(router) != revision) {
      if (godwit::base::SteadyNow() > limit) {
        return false;
      }
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kPollPause.count()));
    }
    return true;
  }

 private:
  std::string Write(const std::string& name, const std::string& text) {
    std::string path = directory_.path() + "/" + name + ".yaml";
    std::ofstream(path) << text;
    return path;
  }

  void StartAgent(const std::string& name, const std::string& data_centre) {
    Start("godwit-agent", name, data_centre,
          "kind: plain\nbackend: " + Address(service_.port()) + "\n");
  }

  void Start(const std::string& program,
             const std::string& name,
             const std::string& data_centre,
             const std::string& settings) {
    const std::string path = Write(
        name, "process: " + name +
                  "\nfleet: test\ndata_centre: " + data_centre +
                  "\nplatform: " + Address(platform_.port()) + "\n" + settings);
    processes_[name] = std::make_unique<ChildProcess>(
        program, std::vector<std::string>{"--settings", path});
  }

  TestDirectory directory_;
  CoreThread core_;
  ChildProcess platform_;
  ChildProcess service_;
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
  std::map<std::string, int64_t> last_revision_;
};

}  // namespace

TEST_GROUP(ConfigProcess){};

TEST(ConfigProcess, AcceptedConfigReachesEveryProcessAndNeverReverts) {
  Fleet fleet;
  const int64_t first = fleet.Apply(1, 0);
  CHECK(first > 0);
  CHECK(fleet.AwaitRevision("router-1", first));
  CHECK(fleet.AwaitRevision("router-2", first));

  // The answer is lost after the write took effect.
  fleet.SetFaults(R"({"lose_answers": 1})");
  const int64_t second = fleet.Apply(2, first);
  CHECK(second > first);
  CHECK(fleet.AwaitRevision("router-1", second));

  // A router is paused and its links become unresponsive, while the
  // configuration changes and the KV becomes unavailable.
  fleet.process("router-2").Signal(SIGSTOP);
  fleet.process("agent-1").Signal(SIGSTOP);
  const int64_t third = fleet.Apply(3, second);
  CHECK(third > second);
  CHECK(fleet.AwaitRevision("router-1", third));
  fleet.SetFaults(R"({"outage": true, "keep_leases": true})");
  fleet.process("router-2").Signal(SIGCONT);
  CHECK(fleet.AwaitRevision("router-2", third));
  CHECK_EQUAL(0, fleet.Apply(4, third));
  fleet.process("agent-1").Signal(SIGCONT);
  fleet.SetFaults(R"({"outage": false})");

  // A router is killed; its next incarnation starts with the latest
  // configuration.
  fleet.process("router-1").Signal(SIGKILL);
  fleet.process("router-1").Wait();
  const int64_t fourth = fleet.Apply(5, third);
  fleet.StartRouter("router-1");
  CHECK(fleet.AwaitRevision("router-1", fourth));
  CHECK(fleet.AwaitRevision("router-2", fourth));
}

TEST(ConfigProcess, OneOfTwoRacingOperatorsWins) {
  Fleet fleet;
  const int64_t first = fleet.Apply(1, 0);
  std::vector<int64_t> accepted(2);
  std::vector<std::thread> operators;
  operators.reserve(accepted.size());
  for (int i = 0; i < 2; ++i) {
    operators.emplace_back(
        [&, i] { accepted[i] = fleet.Apply(10 + i, first); });
  }
  for (std::thread& operator_thread : operators) {
    operator_thread.join();
  }
  CHECK((accepted[0] == 0) != (accepted[1] == 0));
  const int64_t won = accepted[0] + accepted[1];
  CHECK(fleet.AwaitRevision("router-1", won));
  CHECK(fleet.AwaitRevision("router-2", won));
}

TEST(ConfigProcess,
     ConfigurationNeverArrivesWhereTheKvLosesTheAnswersOfWatches) {
  Fleet fleet;
  const int64_t first = fleet.Apply(1, 0);
  CHECK(fleet.AwaitRevision("router-1", first));
  CHECK(fleet.AwaitRevision("router-2", first));
  fleet.SetFaults(R"({"lose_watches": true})");
  const int64_t second = fleet.Apply(2, first);
  CHECK(second > first);
  CHECK(fleet.AwaitRevision("router-1", second));
  CHECK(fleet.AwaitRevision("router-2", second));
}
