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

// Manages the links of a process: maps peers to links, logs link events, and
// passes configuration messages to the configuration service. Core thread only.
class LinkManager {
 public:
  struct Handler {
    // As in link::TransportHandler, but without configuration messages.
    std::function<void(link::ConnectionId, const link::Hello& peer)> on_up;
    std::function<void(link::ConnectionId, link::Message)> on_message;
    // `peer` is empty if the link was never up.
    std::function<void(link::ConnectionId, const base::ProcessId& peer)>
        on_down;
    std::function<link::Hello()> hello;
    std::function<link::Heartbeat()> heartbeat;
  };

  // Must outlive Runtime::Run().
  LinkManager(runtime::Runtime& runtime,
              ConfigService& config,
              Handler handler);
  ~LinkManager();
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  // Starts the transport, which dials links and, if `listen_ip` is not empty,
  // accepts them. Returns false if an address or a file can't be used; see
  // last_error().
  bool Start(LinkTls tls, const std::string& listen_ip, uint16_t listen_port);

  // Local port that links are accepted on.
  uint16_t port() const noexcept;
  // Number of links that are up.
  size_t links() const noexcept { return peers_.size(); }
  // Counters of link and protocol errors of peers.
  const link::LinkCounters& counters() const noexcept;
  const base::Error& last_error() const noexcept { return error_; }

  // Opens a link; on_up or on_down follows.
  link::ConnectionId Dial(const std::string& ip, uint16_t port);
  void Send(link::ConnectionId connection, const link::Message& message);
  // Sends on the newest link of a peer; the message is dropped if there is
  // none.
  void SendTo(const base::ProcessId& peer, const link::Message& message);
  // Closes a link; on_down follows as the last callback for that link.
  void Close(link::ConnectionId connection);
  // Closes every link. Close notices are sent after the messages already
  // queued.
  void CloseAll();

  // Reloads the TLS files and logs the outcome; existing links are not
  // affected.
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
