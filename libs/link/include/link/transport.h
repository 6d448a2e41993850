#ifndef LINK_TRANSPORT_H_
#define LINK_TRANSPORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/millis.h"
#include "link/connection_id.h"
#include "link/link_counters.h"
#include "link/message.h"
#include "link/transport_handler.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::link {

// Links of a process to its peers, over websocketpp. Each message is one CBOR
// frame; frames queued at the same time share a WebSocket message. Heartbeats
// are sent periodically in both directions. A link on which nothing is received
// within the receive timeout is closed, even if its socket is still open. All
// calls on the core thread, within Runtime::Run; destroy it before the runtime.
class Transport {
 public:
  class Builder {
   public:
    // Also accepts links, on this IP address; port 0 lets the kernel choose.
    Builder& Listen(std::string ip, uint16_t port);
    // Default 500 ms.
    Builder& HeartbeatPeriod(base::Millis span);
    // Default 2 s.
    Builder& ReceiveTimeout(base::Millis span);
    // A larger frame closes its link. Default 16 MB.
    Builder& MaxFrameBytes(size_t bytes);
    // PEM files: both ends must present a certificate signed by the authority.
    Builder& Tls(std::string certificate_file,
                 std::string key_file,
                 std::string authority_file);
    Builder& Handle(TransportHandler handler);
    // Returns null when the address or a file can't be used; see last_error().
    std::unique_ptr<Transport> Build(runtime::Runtime& runtime);
    const base::Error& last_error() const noexcept { return error_; }

   private:
    friend class Transport;
    bool listen_ = false;
    std::string ip_;
    uint16_t port_ = 0;
    base::Millis heartbeat_period_{500};
    base::Millis receive_timeout_{2000};
    size_t max_frame_bytes_ = 16 * 1024 * 1024;
    std::string certificate_file_;
    std::string key_file_;
    std::string authority_file_;
    TransportHandler handler_;
    base::Error error_;
  };

  ~Transport();

  // The listening port; 0 when not listening.
  uint16_t port() const noexcept;

  // Opens a link; on_up or on_down follows.
  ConnectionId Dial(std::string ip, uint16_t port);

  // Queues a message; it is dropped when the link is closed.
  void Send(ConnectionId connection, const Message& message);

  // Closes a link; on_down follows as the last callback for that link.
  void Close(ConnectionId connection);

  // Reloads the TLS files for new links; existing links are not affected. On
  // failure returns false with `error` set and keeps the previous files.
  bool ReloadTls(base::Error* error);

  // Bytes queued on a link and not yet written to its socket, as last observed
  // by the I/O thread; 0 when the link is closed.
  size_t queued_bytes(ConnectionId connection) const noexcept;

  // Peer faults detected so far.
  const LinkCounters& counters() const noexcept;

 private:
  class State;
  explicit Transport(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace godwit::link

#endif  // LINK_TRANSPORT_H_
