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

// Connects an AgentCore to its I/O: links to routers, calls to the backend
// server and the agent's entry in the fleet record. Core thread only.
class AgentDaemon {
 public:
  // `runtime` must outlive the daemon.
  AgentDaemon(runtime::Runtime& runtime, const config::Settings& settings);
  ~AgentDaemon();

  // Returns false if a port can't be used; see last_error().
  bool Start();

  // Starts an orderly stop, which ends the runtime. Later calls have no effect.
  void Drain();

  // Reloads the certificates of links; existing links are not affected. Core
  // thread only.
  void ReloadCertificates();

  // kNone unless the agent could not start or did not stop in order.
  const base::Error& last_error() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::agent_daemon

#endif  // AGENT_DAEMON_H_
