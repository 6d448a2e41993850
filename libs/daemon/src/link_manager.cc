#include "daemon/link_manager.h"

#include <utility>
#include <variant>

#include "daemon/config_service.h"
#include "link/transport.h"
#include "runtime/runtime.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::daemon {
namespace {

using telemetry::EventId;
using telemetry::Log;

// Returns the event that a link error of `kind` is logged as.
EventId FaultEvent(base::ErrorKind kind) {
  switch (kind) {
    case base::ErrorKind::kDeadlineExceeded:
      return EventId::kLinkSilent;
    case base::ErrorKind::kForbidden:
      return EventId::kLinkRefused;
    case base::ErrorKind::kUnavailable:
      return EventId::kLinkClosed;
    default:
      return EventId::kFrameRefused;
  }
}

}  // namespace

LinkManager::LinkManager(runtime::Runtime& runtime,
                         ConfigService& config,
                         Handler handler)
    : runtime_(runtime), config_(config), handler_(std::move(handler)) {}

LinkManager::~LinkManager() = default;

bool LinkManager::Start(LinkTls tls,
                        const std::string& listen_ip,
                        uint16_t listen_port) {
  tls_ = std::move(tls);
  link::Transport::Builder builder;
  if (!listen_ip.empty()) {
    builder.Listen(listen_ip, listen_port);
  }
  if (tls_.enabled()) {
    builder.Tls(tls_.certificate, tls_.key, tls_.authority);
  }
  transport_ = builder.Handle(TransportHandlers()).Build(runtime_);
  error_ = builder.last_error();
  if (transport_ != nullptr && tls_.enabled()) {
    Log(EventId::kCertificateLoaded, {{"file", tls_.certificate}});
  }
  return transport_ != nullptr;
}

link::TransportHandler LinkManager::TransportHandlers() {
  link::TransportHandler handler;
  handler.on_up = [this](link::ConnectionId connection,
                         const link::Hello& peer) { OnUp(connection, peer); };
  handler.on_message = [this](link::ConnectionId connection,
                              link::Message message) {
    OnMessage(connection, std::move(message));
  };
  handler.on_down = [this](link::ConnectionId connection) {
    OnDown(connection);
  };
  handler.on_fault = [](link::ConnectionId connection,
                        const base::Error& error) {
    Log(FaultEvent(error.kind()),
        {{"link", connection}, {"reason", error.ToString()}});
  };
  handler.hello = handler_.hello;
  handler.heartbeat = handler_.heartbeat;
  return handler;
}

uint16_t LinkManager::port() const noexcept {
  return transport_->port();
}

const link::LinkCounters& LinkManager::counters() const noexcept {
  return transport_->counters();
}

link::ConnectionId LinkManager::Dial(const std::string& ip, uint16_t port) {
  return transport_->Dial(ip, port);
}

void LinkManager::Send(link::ConnectionId connection,
                       const link::Message& message) {
  transport_->Send(connection, message);
}

void LinkManager::SendTo(const base::ProcessId& peer,
                         const link::Message& message) {
  const auto found = connections_.find(peer);
  if (found != connections_.end()) {
    transport_->Send(found->second, message);
  }
}

void LinkManager::Close(link::ConnectionId connection) {
  transport_->Close(connection);
}

void LinkManager::CloseAll() {
  for (const auto& [connection, process] : peers_) {
    transport_->Close(connection);
  }
}

void LinkManager::ReloadTls() {
  if (!tls_.enabled()) {
    return;
  }
  base::Error reason;
  if (const auto certificate_error = tls_.Check()) {
    reason = *certificate_error;
  } else if (transport_->ReloadTls(&reason)) {
    Log(EventId::kCertificateLoaded, {{"file", tls_.certificate}});
    return;
  }
  Log(EventId::kCertificateRefused,
      {{"file", tls_.certificate}, {"reason", reason.ToString()}});
}

void LinkManager::OnUp(link::ConnectionId connection, const link::Hello& peer) {
  peers_[connection] = peer.process;
  connections_[peer.process] = connection;
  config_.OnPeerRevision(peer.process, peer.config_revision);
  Log(EventId::kLinkOpened, {{"link", connection},
                             {"peer", peer.process},
                             {"incarnation", peer.incarnation}});
  handler_.on_up(connection, peer);
}

void LinkManager::OnMessage(link::ConnectionId connection,
                            link::Message message) {
  const auto peer = peers_.find(connection);
  if (peer == peers_.end()) {
    return;
  }
  if (const auto* pull = std::get_if<link::PullConfig>(&message)) {
    config_.OnPull(peer->second, *pull);
    return;
  }
  if (const auto* push = std::get_if<link::PushConfig>(&message)) {
    config_.OnPush(*push);
    return;
  }
  if (const auto* heartbeat_message = std::get_if<link::Heartbeat>(&message)) {
    config_.OnPeerRevision(peer->second, heartbeat_message->config_revision);
  }
  handler_.on_message(connection, std::move(message));
}

void LinkManager::OnDown(link::ConnectionId connection) {
  base::ProcessId process;
  const auto peer = peers_.find(connection);
  if (peer != peers_.end()) {
    process = peer->second;
    Log(EventId::kLinkClosed, {{"link", connection}, {"peer", process}});
    peers_.erase(peer);
    const auto current = connections_.find(process);
    if (current != connections_.end() && current->second == connection) {
      connections_.erase(current);
      config_.OnPeerDisconnected(process);
    }
  }
  handler_.on_down(connection, process);
}

}  // namespace godwit::daemon
