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

// Polls a condition until it holds; returns false after 20 s.
bool Await(const std::function<bool()>& condition);

// Contents of a file.
std::string ReadFile(const std::string& path);

// Builds an HTTP request with the API key of the test organisation and
// "Connection: close".
std::string RequestText(const std::string& target,
                        const std::string& body,
                        const std::string& headers = "");
// Builds a streaming chat completion request.
std::string QuestionText();
// Builds a request to the plain service.
std::string TicketText();

// Returns the HTTP status of an answer; 0 if there is none.
int StatusOfAnswer(const std::string& answer);
// Returns the body of an HTTP answer.
std::string BodyOfAnswer(const std::string& answer);

// A router and its dependencies as separate processes: a platform, an engine
// and a plain service with one agent each. Also creates a budget.
class TestFleet {
 public:
  // Additional YAML lines for the settings.
  struct Lines {
    std::string router;
    std::string agent;
    // True if callers are served over TLS.
    bool caller_tls = false;
  };

  TestFleet() : TestFleet(Lines()) {}
  explicit TestFleet(Lines lines);

  // Sends bytes to the router on a new connection and returns the complete
  // answer.
  std::string Send(const std::string& bytes) const;
  std::string Get(const std::string& target) const;
  // Returns true if the router answers /readyz with 200 and has links to both
  // agents.
  bool IsReady() const;

  // Starts another router, whose log goes to `name`.log.
  std::unique_ptr<support::ChildProcess> StartRouter(const std::string& name,
                                                     const std::string& lines);
  // Runs godwitctl against the platform; returns its exit code.
  int RunGodwitctl(std::vector<std::string> arguments) const;

  // Number of grants on the budget in the KV; nullopt if the record can't be
  // read.
  std::optional<size_t> Grants() const;

  uint16_t port() const { return router->port(); }
  std::string Log(const std::string& process = "router-1") const;
  // Returns true if the log of a process contains an event.
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
