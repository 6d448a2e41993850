#ifndef AGENT_DAEMON_H_
#define AGENT_DAEMON_H_

#include <memory>

#include "base/error.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::runtime {
class Runtime;
}

namespace godwit::agent_daemon {

// Declares the settings of godwit-agent.
void DeclareSettings(config::SettingsReader& reader);

// The shell of an AgentCore: links to routers, calls to the backend server and
// the agent's place in the fleet record. Core thread.
class AgentDaemon {
 public:
  // `runtime` must outlive the daemon.
  AgentDaemon(runtime::Runtime& runtime, const config::Settings& settings);
  ~AgentDaemon();

  // False when a port can't be used; see last_error().
  bool Start();

  // Stops in order, then ends the runtime. Once; later calls do nothing.
  void Drain();

  // kNone unless the agent could not start or did not stop in order.
  // Reads the certificates of links again; links that are up go on. Core
  // thread.
  void ReloadCertificates();

  const base::Error& last_error() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::agent_daemon

#endif  // AGENT_DAEMON_H_
