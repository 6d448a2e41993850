#ifndef DAEMON_CONFIG_SERVICE_H_
#define DAEMON_CONFIG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "base/error.h"
#include "base/ids.h"
#include "config/config_sync.h"
#include "link/message.h"

namespace godwit::platform {
class Client;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::config {
struct Config;
}

namespace godwit::daemon {

// Keeps the newest accepted configuration in force in a process: connects
// config::ConfigSync to the KV and to the process's links. Core thread only.
class ConfigService {
 public:
  struct Handler {
    // Called when a newer configuration is in force.
    std::function<void(std::shared_ptr<const config::Config>)> on_in_force;
    // Called when a configuration is invalid and was not activated.
    std::function<void(int64_t revision, const base::Error&)> on_rejected;
    // Sends a message to a linked peer.
    std::function<void(const base::ProcessId&, link::Message)> send;
  };

  // Must outlive Runtime::Run().
  ConfigService(runtime::Runtime& runtime,
                platform::Client& client,
                Handler handler);

  void Start();

  // Events from links to peers.
  void OnPeerRevision(const base::ProcessId& peer, int64_t revision);
  void OnPeerDisconnected(const base::ProcessId& peer);
  void OnPull(const base::ProcessId& peer, const link::PullConfig& pull);
  void OnPush(const link::PushConfig& push);

  // Revision in force; 0 if there is none.
  int64_t revision() const noexcept { return config_sync_.revision(); }
  // Configuration in force; null if there is none.
  const std::shared_ptr<const config::Config>& in_force() const noexcept {
    return in_force_;
  }
  // True once a configuration is in force that was confirmed by the KV or,
  // while the KV is unavailable, by peers.
  bool may_serve() const noexcept { return config_sync_.may_serve(); }

 private:
  void Step(const config::ConfigSyncEvent& event);
  void Execute(const config::WatchKv& command);
  void Execute(const config::PullFrom& command);
  void Execute(const config::PushTo& command);
  void Execute(const config::ActivateConfig& command);
  void Execute(const config::ConfigRejected& command);

  runtime::Runtime& runtime_;
  platform::Client& client_;
  const Handler handler_;
  config::ConfigSync config_sync_;
  std::shared_ptr<const config::Config> in_force_;
};

}  // namespace godwit::daemon

#endif  // DAEMON_CONFIG_SERVICE_H_
