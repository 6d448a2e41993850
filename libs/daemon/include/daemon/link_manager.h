#ifndef DAEMON_LINK_MANAGER_H_
#define DAEMON_LINK_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "daemon/link_tls.h"
#include "link/connection_id.h"
#include "link/link_counters.h"
#include "link/message.h"
#include "link/transport_handler.h"

namespace godwit::link {
class Transport;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::daemon {

class ConfigService;

// The links of a process: knows its peers by name, logs what happens to links,
// and passes configuration messages to the configuration service. Core thread.
class LinkManager {
 public:
  struct Handler {
    // As in link::TransportHandler; configuration messages are left out.
    std::function<void(link::ConnectionId, const link::Hello& peer)> on_up;
    std::function<void(link::ConnectionId, link::Message)> on_message;
    // `peer` is empty when the link never was up.
    std::function<void(link::ConnectionId, const base::ProcessId& peer)>
        on_down;
    std::function<link::Hello()> hello;
    std::function<link::Heartbeat()> heartbeat;
  };

  // Must outlive the runtime's run.
  LinkManager(runtime::Runtime& runtime,
              ConfigService& config,
              Handler handler);
  ~LinkManager();
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  // Starts to dial links, and also to accept them where `listen_ip` is not
  // empty. False when an address or a file can't be used; see last_error().
  bool Start(LinkTls tls, const std::string& listen_ip, uint16_t listen_port);

  // Port listened on.
  uint16_t port() const noexcept;
  // Links that are up.
  size_t links() const noexcept { return peers_.size(); }
  // Faults of peers so far.
  const link::LinkCounters& counters() const noexcept;
  const base::Error& last_error() const noexcept { return error_; }

  link::ConnectionId Dial(const std::string& ip, uint16_t port);
  void Send(link::ConnectionId connection, const link::Message& message);
  // To the newest link of a peer; dropped when there is none.
  void SendTo(const base::ProcessId& peer, const link::Message& message);
  void Close(link::ConnectionId connection);
  // Closes every link. Close notices go out with the messages before them.
  void CloseAll();

  // Reads the TLS files again; links that are up go on. Logs the outcome.
  void ReloadTls();

 private:
  link::TransportHandler TransportHandlers();
  void OnUp(link::ConnectionId connection, const link::Hello& peer);
  void OnMessage(link::ConnectionId connection, link::Message message);
  void OnDown(link::ConnectionId connection);

  runtime::Runtime& runtime_;
  ConfigService& config_;
  const Handler handler_;
  LinkTls tls_;
  std::unique_ptr<link::Transport> transport_;
  std::map<link::ConnectionId, base::ProcessId> peers_;
  std::map<base::ProcessId, link::ConnectionId> connections_;
  base::Error error_;
};

}  // namespace godwit::daemon

#endif  // DAEMON_LINK_MANAGER_H_
