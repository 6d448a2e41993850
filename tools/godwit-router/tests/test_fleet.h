#ifndef GODWIT_ROUTER_TESTS_TEST_FLEET_H_
#define GODWIT_ROUTER_TESTS_TEST_FLEET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/child_process.h"
#include "support/test_directory.h"

namespace godwit::router_daemon {

// Checks a condition until it holds; false after 20 s.
bool Await(const std::function<bool()>& condition);

// Contents of a file.
std::string ReadFile(const std::string& path);

// An HTTP request with the API key of the test's organisation, whose answer
// closes the connection.
std::string RequestText(const std::string& target,
                        const std::string& body,
                        const std::string& headers = "");
// A streamed model question.
std::string QuestionText();
// A call to the plain service.
std::string TicketText();

// Status of an HTTP answer; 0 for none.
int StatusOfAnswer(const std::string& answer);
// What follows its header.
std::string BodyOfAnswer(const std::string& answer);

// A router with all that it needs, as separate processes: a platform, an
// engine and a plain service with an agent each, and a budget.
class TestFleet {
 public:
  // Lines of YAML that the settings carry besides.
  struct Lines {
    std::string router;
    std::string agent;
    // True when callers are served over TLS.
    bool caller_tls = false;
  };

  TestFleet() : TestFleet(Lines()) {}
  explicit TestFleet(Lines lines);

  // Sends bytes to the router on a connection of their own and returns all
  // that comes back.
  std::string Send(const std::string& bytes) const;
  std::string Get(const std::string& target) const;
  // Whether the router answers /readyz with 200 and has links to both agents.
  bool IsReady() const;

  // Starts another router, whose log goes to `name`.log.
  std::unique_ptr<support::ChildProcess> StartRouter(const std::string& name,
                                                     const std::string& lines);
  // Runs godwitctl against the platform; returns its exit code.
  int RunGodwitctl(std::vector<std::string> arguments) const;

  // Grants on the budget in the KV; empty when it can't be read.
  std::optional<size_t> Grants() const;

  uint16_t port() const { return router->port(); }
  std::string Log(const std::string& process = "router-1") const;
  // Whether a log names an event.
  bool HasLogged(const std::string& event,
                 const std::string& process = "router-1") const;
  void InjectFaults(const support::ChildProcess& server,
                    const std::string& faults) const;

  support::TestDirectory directory;
  support::ChildProcess platform{"standin-platform", {}};
  support::ChildProcess engine{"standin-engine", {}};
  support::ChildProcess service{"standin-service", {}};
  std::unique_ptr<support::ChildProcess> engine_agent;
  std::unique_ptr<support::ChildProcess> service_agent;
  std::unique_ptr<support::ChildProcess> router;

 private:
  std::unique_ptr<support::ChildProcess> StartAgent(
      const std::string& name,
      const std::string& kind,
      const support::ChildProcess& backend) const;
  std::unique_ptr<support::ChildProcess> StartProcess(
      const std::string& program,
      const std::string& name,
      const std::string& lines) const;

  const Lines lines_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_TESTS_TEST_FLEET_H_
