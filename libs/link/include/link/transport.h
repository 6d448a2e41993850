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

// Links of a process to its peers: websocketpp carrying CBOR frames, one a
// message; frames that wait together share a WebSocket message. Heartbeats go
// out at a period in both directions; a link on which nothing arrives for the
// silence limit is closed, however open its socket looks. All calls on the core
// thread, within Runtime::Run; destroy it before the runtime.
class Transport {
 public:
  class Builder {
   public:
    // Also accepts links, on this IP number; port 0 lets the kernel choose.
    Builder& Listen(std::string ip, uint16_t port);
    // Default 500 ms.
    Builder& HeartbeatPeriod(base::Millis span);
    // Default 2 s.
    Builder& ReceiveTimeout(base::Millis span);
    // Frames above this close the link. Default 16 MB.
    Builder& MaxFrameBytes(size_t bytes);
    // PEM files: both ends must show a certificate signed by the authority.
    Builder& Tls(std::string certificate_file,
                 std::string key_file,
                 std::string authority_file);
    Builder& Handle(TransportHandler handler);
    // Empty when the address or a file can't be used; see last_error().
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

  // Port listened on; 0 when not listening.
  uint16_t port() const noexcept;

  // Opens a link; on_up or on_down follows.
  ConnectionId Dial(std::string ip, uint16_t port);

  // Queues a message; dropped when the link is gone.
  void Send(ConnectionId connection, const Message& message);

  // Closes a link; on_down follows, and nothing else of that link.
  void Close(ConnectionId connection);

  // Reads the TLS files again for new links; links that are up go on. False
  // when they can't be used; the old ones stay in force, see `reason`.
  bool ReloadTls(base::Error* reason);

  // Bytes queued on a link and not yet handed to its socket, as last seen by
  // the I/O thread; 0 when the link is gone.
  size_t queued_bytes(ConnectionId connection) const noexcept;

  // Faults of peers so far.
  const LinkCounters& counters() const noexcept;

 private:
  class State;
  explicit Transport(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
};

}  // namespace godwit::link

#endif  // LINK_TRANSPORT_H_
