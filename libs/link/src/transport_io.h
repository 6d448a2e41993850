#ifndef LINK_TRANSPORT_IO_H_
#define LINK_TRANSPORT_IO_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/millis.h"
#include "endpoint.h"
#include "link/codec.h"
#include "link/connection_id.h"
#include "link/message.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::link {

// A connection opened; Hello may be sent.
struct LinkOpened {
  ConnectionId id = 0;
};

// A frame was received and decoded.
struct FrameReceived {
  ConnectionId id = 0;
  Message message;
};

// A received frame could not be decoded.
struct FrameRejected {
  ConnectionId id = 0;
  base::Error error;
};

// A connection closed; `reason` is kNone for a clean close.
struct LinkClosed {
  ConnectionId id = 0;
  base::Error reason;
};

// An incoming connection failed before it opened.
struct PeerRejected {
  base::Error reason;
};

using IoEvent = std::
    variant<LinkOpened, FrameReceived, FrameRejected, LinkClosed, PeerRejected>;

// Bytes queued on one link and not yet written to its socket.
struct SendQueueGauge {
  std::atomic<size_t> outbox{0};
  std::atomic<size_t> socket{0};
};

// The part of a Transport that runs on the I/O thread: sends and decodes frames
// and detects unresponsive links. Commands and events cross between the threads
// in batches, with one posted task for all that have accumulated. Owned through
// shared_ptr.
class TransportIo : public std::enable_shared_from_this<TransportIo> {
 public:
  using EventHandler = std::function<void(std::vector<IoEvent>)>;

  TransportIo(runtime::Runtime& runtime,
              base::Millis receive_timeout,
              size_t max_frame_bytes);

  // Creates the endpoint, without TLS when `tls` is empty. Returns false with
  // `error` set on failure.
  bool Open(const std::optional<TlsFiles>& tls,
            size_t max_frame_bytes,
            base::Error& error);
  // See Endpoint::Listen.
  std::optional<uint16_t> Listen(const std::string& ip,
                                 uint16_t port,
                                 base::Error& error);
  // See Endpoint::ReloadTls.
  bool ReloadTls(const TlsFiles& files, base::Error& error);
  // Starts to report events; `handler` runs on the core thread.
  void Start(EventHandler handler);

  // The following are called on the core thread.
  ConnectionId Dial(std::string ip, uint16_t port);
  void Send(ConnectionId id,
            std::string frame,
            std::shared_ptr<SendQueueGauge> gauge);
  void Close(ConnectionId id);
  // Reports no further events.
  void Shutdown();

 private:
  struct DialCommand {
    ConnectionId id = 0;
    std::string ip;
    uint16_t port = 0;
  };
  struct SendCommand {
    ConnectionId id = 0;
    std::string frame;
    std::shared_ptr<SendQueueGauge> gauge;
  };
  struct CloseCommand {
    ConnectionId id = 0;
  };
  using Command = std::variant<DialCommand, SendCommand, CloseCommand>;

  // State of one connection on the I/O thread.
  struct ConnectionState {
    base::Millis last_received_at;
    std::shared_ptr<SendQueueGauge> gauge;
  };

  EndpointSink MakeSink();
  void Enqueue(Command command);
  // Sends the pending batch of a connection, if any.
  void Flush(ConnectionId id);
  void FlushAll();
  void Execute(const DialCommand& command);
  void Execute(const SendCommand& command);
  void Execute(const CloseCommand& command);
  void ExecuteAll();
  void Report(IoEvent event);
  void Report(std::vector<IoEvent> events);
  void ReportAll();
  void OnMessage(ConnectionId id, const std::string& batch);
  IoEvent Decode(ConnectionId id, std::string_view frame);
  void ScheduleCheck();
  void CheckTimeouts();

  runtime::Runtime& runtime_;
  const base::Millis receive_timeout_;
  Codec codec_;
  std::shared_ptr<Endpoint> endpoint_;
  std::atomic<ConnectionId> next_id_{1};

  // I/O thread only.
  std::unordered_map<ConnectionId, ConnectionState> connections_;
  std::unordered_map<ConnectionId, std::string> batches_;
  boost::asio::steady_timer check_timer_;
  bool shut_down_ = false;

  // Core thread only.
  EventHandler event_handler_;

  std::mutex mutex_;
  std::vector<Command> commands_;
  std::vector<IoEvent> events_;
};

}  // namespace godwit::link

#endif  // LINK_TRANSPORT_IO_H_
