#include "link/transport.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "link/codec.h"
#include "runtime/runtime.h"
#include "transport_io.h"

namespace godwit::link {

namespace {

// Id reported for an incoming connection that never opened.
constexpr ConnectionId kNoConnection = 0;

}  // namespace

// The part of a Transport that runs on the core thread.
class Transport::State : public std::enable_shared_from_this<State> {
 public:
  State(std::shared_ptr<TransportIo> io, TransportHandler handler)
      : io_(std::move(io)), handler_(std::move(handler)) {}

  void Start(runtime::Runtime& runtime, base::Millis heartbeat_period) {
    const std::weak_ptr<State> weak = weak_from_this();
    io_->Start([weak](std::vector<IoEvent> events) {
      if (const auto self = weak.lock()) {
        self->HandleEvents(std::move(events));
      }
    });
    runtime.Every(heartbeat_period, [weak] {
      if (const auto self = weak.lock()) {
        self->SendHeartbeats();
      }
    });
  }

  ConnectionId Dial(std::string ip, uint16_t port) {
    const ConnectionId id = io_->Dial(std::move(ip), port);
    links_[id].dialled = true;
    return id;
  }

  void Send(ConnectionId id, const Message& message) {
    const auto found = links_.find(id);
    if (found != links_.end() && !found->second.closing) {
      io_->Send(id, Codec::Encode(message), found->second.gauge);
    }
  }

  void Close(ConnectionId id) {
    const auto found = links_.find(id);
    if (found != links_.end() && !found->second.closing) {
      found->second.closing = true;
      io_->Close(id);
    }
  }

  void Shutdown() {
    handler_ = TransportHandler();
    links_.clear();
    io_->Shutdown();
  }

  size_t queued_bytes(ConnectionId id) const noexcept {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return 0;
    }
    return found->second.gauge->outbox + found->second.gauge->socket;
  }

  const LinkCounters& counters() const noexcept { return counters_; }

  bool ReloadTls(base::Error* error) { return io_->ReloadTls(tls, *error); }

  uint16_t port = 0;
  TlsFiles tls;

 private:
  struct Link {
    bool dialled = false;
    // Hello was exchanged and on_up was called.
    bool up = false;
    // Close was called; frames received afterwards are dropped.
    bool closing = false;
    int64_t sequence = 0;
    std::shared_ptr<SendQueueGauge> gauge = std::make_shared<SendQueueGauge>();
  };

  void HandleEvents(std::vector<IoEvent> events) {
    // A callback may destroy the transport.
    const std::shared_ptr<State> self = shared_from_this();
    for (IoEvent& event : events) {
      std::visit([this](auto& typed) { Handle(typed); }, event);
    }
  }

  void Handle(const LinkOpened& event) {
    if (!handler_.hello) {
      return;
    }
    links_[event.id];
    Send(event.id, handler_.hello());
  }

  void Handle(FrameReceived& event) {
    const auto found = links_.find(event.id);
    if (found == links_.end() || found->second.closing) {
      return;
    }
    const Hello* hello = std::get_if<Hello>(&event.message);
    if ((hello != nullptr) == found->second.up) {
      ++counters_.unexpected_frames;
      CloseOnFault(
          event.id,
          base::Error(base::ErrorKind::kProtocol,
                      "the first frame is not Hello, or Hello was sent twice",
                      "let only processes of the fleet connect here"));
      return;
    }
    if (hello == nullptr) {
      Invoke(handler_.on_message, event.id, std::move(event.message));
      return;
    }
    HandleHello(event.id, found->second, *hello);
  }

  void HandleHello(ConnectionId id, Link& link, const Hello& peer) {
    const Hello own = handler_.hello();
    if (peer.protocol != own.protocol || peer.fleet != own.fleet) {
      ++counters_.rejected_peers;
      CloseOnFault(
          id, base::Error(base::ErrorKind::kForbidden,
                          "peer " + peer.process.value() + " of fleet \"" +
                              peer.fleet + "\" speaks protocol " +
                              std::to_string(peer.protocol) +
                              "; this process is of fleet \"" + own.fleet +
                              "\" and speaks " + std::to_string(own.protocol),
                          "give both processes the same fleet name and "
                          "release"));
      return;
    }
    link.up = true;
    Invoke(handler_.on_up, id, peer);
  }

  void Handle(const FrameRejected& event) {
    const auto found = links_.find(event.id);
    if (found == links_.end() || found->second.closing) {
      return;
    }
    if (event.error.kind() == base::ErrorKind::kProtocol && found->second.up) {
      ++counters_.unknown_frames;
      Invoke(handler_.on_fault, event.id, event.error);
      return;
    }
    if (event.error.kind() == base::ErrorKind::kTooLarge) {
      ++counters_.oversized_frames;
    } else {
      ++counters_.malformed_frames;
    }
    CloseOnFault(event.id, event.error);
  }

  void Handle(const LinkClosed& event) {
    const auto found = links_.find(event.id);
    if (found == links_.end()) {
      return;
    }
    const Link link = found->second;
    links_.erase(found);
    if (event.reason.kind() != base::ErrorKind::kNone && !link.closing) {
      Count(event.reason.kind());
      Invoke(handler_.on_fault, event.id, event.reason);
    }
    if (link.up || link.dialled) {
      Invoke(handler_.on_down, event.id);
    }
  }

  void Handle(const PeerRejected& event) {
    ++counters_.rejected_peers;
    Invoke(handler_.on_fault, kNoConnection, event.reason);
  }

  void Count(base::ErrorKind kind) {
    if (kind == base::ErrorKind::kTooLarge) {
      ++counters_.oversized_frames;
    } else if (kind == base::ErrorKind::kDeadlineExceeded) {
      ++counters_.unresponsive_links;
    } else if (kind == base::ErrorKind::kForbidden) {
      ++counters_.rejected_peers;
    }
  }

  void CloseOnFault(ConnectionId id, const base::Error& error) {
    Close(id);
    Invoke(handler_.on_fault, id, error);
  }

  void SendHeartbeats() {
    if (!handler_.heartbeat) {
      return;
    }
    for (auto& [id, link] : links_) {
      if (!link.up || link.closing) {
        continue;
      }
      Heartbeat heartbeat = handler_.heartbeat();
      heartbeat.sequence = ++link.sequence;
      Send(id, heartbeat);
    }
  }

  // Calls a copy, since the callback may destroy the transport.
  template <typename... Parameters, typename... Arguments>
  static void Invoke(std::function<void(Parameters...)> callback,
                     Arguments&&... arguments) {
    if (callback) {
      callback(std::forward<Arguments>(arguments)...);
    }
  }

  std::shared_ptr<TransportIo> io_;
  TransportHandler handler_;
  LinkCounters counters_;
  std::unordered_map<ConnectionId, Link> links_;
};

Transport::Builder& Transport::Builder::Listen(std::string ip, uint16_t port) {
  listen_ = true;
  ip_ = std::move(ip);
  port_ = port;
  return *this;
}

Transport::Builder& Transport::Builder::HeartbeatPeriod(base::Millis span) {
  heartbeat_period_ = span;
  return *this;
}

Transport::Builder& Transport::Builder::ReceiveTimeout(base::Millis span) {
  receive_timeout_ = span;
  return *this;
}

Transport::Builder& Transport::Builder::MaxFrameBytes(size_t bytes) {
  max_frame_bytes_ = bytes;
  return *this;
}

Transport::Builder& Transport::Builder::Tls(std::string certificate_file,
                                            std::string key_file,
                                            std::string authority_file) {
  certificate_file_ = std::move(certificate_file);
  key_file_ = std::move(key_file);
  authority_file_ = std::move(authority_file);
  return *this;
}

Transport::Builder& Transport::Builder::Handle(TransportHandler handler) {
  handler_ = std::move(handler);
  return *this;
}

std::unique_ptr<Transport> Transport::Builder::Build(
    runtime::Runtime& runtime) {
  auto io = std::make_shared<TransportIo>(runtime, receive_timeout_,
                                          max_frame_bytes_);
  std::optional<TlsFiles> tls;
  if (!certificate_file_.empty()) {
    tls = TlsFiles{certificate_file_, key_file_, authority_file_};
  }
  if (!io->Open(tls, max_frame_bytes_, error_)) {
    return nullptr;
  }
  auto state = std::make_shared<State>(io, std::move(handler_));
  state->tls = tls.value_or(TlsFiles());
  state->Start(runtime, heartbeat_period_);
  std::unique_ptr<Transport> transport(new Transport(state));
  if (listen_) {
    const auto port = io->Listen(ip_, port_, error_);
    if (!port) {
      return nullptr;
    }
    state->port = *port;
  }
  return transport;
}

Transport::Transport(std::shared_ptr<State> state) : state_(std::move(state)) {}

Transport::~Transport() {
  state_->Shutdown();
}

uint16_t Transport::port() const noexcept {
  return state_->port;
}

ConnectionId Transport::Dial(std::string ip, uint16_t port) {
  return state_->Dial(std::move(ip), port);
}

void Transport::Send(ConnectionId connection, const Message& message) {
  state_->Send(connection, message);
}

void Transport::Close(ConnectionId connection) {
  state_->Close(connection);
}

bool Transport::ReloadTls(base::Error* error) {
  return state_->ReloadTls(error);
}

size_t Transport::queued_bytes(ConnectionId connection) const noexcept {
  return state_->queued_bytes(connection);
}

const LinkCounters& Transport::counters() const noexcept {
  return state_->counters();
}

}  // namespace godwit::link
