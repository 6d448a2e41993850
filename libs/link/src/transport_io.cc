#include "transport_io.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <iterator>
#include <utility>

#include "base/clocks.h"
#include "frame_batch.h"
#include "runtime/runtime.h"

namespace godwit::link {
namespace {

// Frames queued at the same time share a WebSocket message up to this size.
constexpr size_t kMaxBatchBytes = size_t{64} * 1024;
// An unresponsive link is detected at most 1/8 of the receive timeout late.
constexpr int64_t kChecksPerTimeout = 8;

}  // namespace

TransportIo::TransportIo(runtime::Runtime& runtime,
                         base::Millis receive_timeout,
                         size_t max_frame_bytes)
    : runtime_(runtime),
      receive_timeout_(receive_timeout),
      codec_(max_frame_bytes),
      check_timer_(runtime.io()) {}

bool TransportIo::Open(const std::optional<TlsFiles>& tls,
                       size_t max_frame_bytes,
                       base::Error& error) {
  const size_t limit =
      std::max(max_frame_bytes, kMaxBatchBytes) + kFrameLengthBytes;
  endpoint_ =
      tls ? MakeTlsEndpoint(runtime_.io(), limit, *tls, MakeSink(), error)
          : MakePlainEndpoint(runtime_.io(), limit, MakeSink());
  return endpoint_ != nullptr;
}

std::optional<uint16_t> TransportIo::Listen(const std::string& ip,
                                            uint16_t port,
                                            base::Error& error) {
  return endpoint_->Listen(ip, port, error);
}

bool TransportIo::ReloadTls(const TlsFiles& files, base::Error& error) {
  return endpoint_->ReloadTls(files, error);
}

void TransportIo::Start(EventHandler handler) {
  event_handler_ = std::move(handler);
  boost::asio::post(runtime_.io(),
                    [self = shared_from_this()] { self->ScheduleCheck(); });
}

EndpointSink TransportIo::MakeSink() {
  EndpointSink sink;
  sink.next_id = [this] { return next_id_++; };
  sink.on_open = [this](ConnectionId id) {
    connections_[id].last_received_at = base::SteadyNow();
    Report(LinkOpened{id});
  };
  sink.on_message = [this](ConnectionId id, const std::string& message) {
    OnMessage(id, message);
  };
  sink.on_reject = [this](base::Error reason) {
    Report(PeerRejected{std::move(reason)});
  };
  sink.on_close = [this](ConnectionId id, base::Error reason) {
    connections_.erase(id);
    Report(LinkClosed{id, std::move(reason)});
  };
  return sink;
}

ConnectionId TransportIo::Dial(std::string ip, uint16_t port) {
  const ConnectionId id = next_id_++;
  Enqueue(DialCommand{id, std::move(ip), port});
  return id;
}

void TransportIo::Send(ConnectionId id,
                       std::string frame,
                       std::shared_ptr<SendQueueGauge> gauge) {
  gauge->outbox += frame.size();
  Enqueue(SendCommand{id, std::move(frame), std::move(gauge)});
}

void TransportIo::Close(ConnectionId id) {
  Enqueue(CloseCommand{id});
}

void TransportIo::Shutdown() {
  event_handler_ = nullptr;
  boost::asio::post(runtime_.io(), [self = shared_from_this()] {
    self->ExecuteAll();
    self->shut_down_ = true;
    self->check_timer_.cancel();
    self->connections_.clear();
    self->endpoint_->Shutdown();
  });
}

void TransportIo::Enqueue(Command command) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    first = commands_.empty();
    commands_.push_back(std::move(command));
  }
  if (first) {
    boost::asio::post(runtime_.io(),
                      [self = shared_from_this()] { self->ExecuteAll(); });
  }
}

void TransportIo::ExecuteAll() {
  std::vector<Command> commands;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    commands.swap(commands_);
  }
  if (shut_down_) {
    return;
  }
  for (const Command& command : commands) {
    std::visit([this](const auto& typed) { Execute(typed); }, command);
  }
  FlushAll();
}

void TransportIo::Flush(ConnectionId id) {
  const auto found = batches_.find(id);
  if (found == batches_.end()) {
    return;
  }
  endpoint_->Send(id, found->second);
  batches_.erase(found);
  const auto connection = connections_.find(id);
  if (connection != connections_.end() && connection->second.gauge) {
    connection->second.gauge->socket = endpoint_->queued_bytes(id);
  }
}

void TransportIo::FlushAll() {
  while (!batches_.empty()) {
    Flush(batches_.begin()->first);
  }
}

void TransportIo::Execute(const DialCommand& command) {
  connections_[command.id].last_received_at = base::SteadyNow();
  endpoint_->Dial(command.id, command.ip, command.port);
}

void TransportIo::Execute(const SendCommand& command) {
  command.gauge->outbox -= command.frame.size();
  const auto found = connections_.find(command.id);
  if (found == connections_.end()) {
    return;
  }
  found->second.gauge = command.gauge;
  std::string& batch = batches_[command.id];
  if (!batch.empty() && batch.size() + command.frame.size() > kMaxBatchBytes) {
    Flush(command.id);
  }
  AppendFrame(batches_[command.id], command.frame);
}

void TransportIo::Execute(const CloseCommand& command) {
  Flush(command.id);
  endpoint_->Close(command.id);
}

void TransportIo::Report(IoEvent event) {
  std::vector<IoEvent> events;
  events.push_back(std::move(event));
  Report(std::move(events));
}

void TransportIo::Report(std::vector<IoEvent> events) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    first = events_.empty();
    if (first) {
      events_.swap(events);
    } else {
      std::move(events.begin(), events.end(), std::back_inserter(events_));
    }
  }
  if (first) {
    runtime_.Post([self = shared_from_this()] { self->ReportAll(); });
  }
}

void TransportIo::ReportAll() {
  std::vector<IoEvent> events;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    events.swap(events_);
  }
  if (event_handler_) {
    event_handler_(std::move(events));
  }
}

void TransportIo::OnMessage(ConnectionId id, const std::string& batch) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  found->second.last_received_at = base::SteadyNow();
  const auto frames = SplitFrames(batch);
  if (!frames || frames->empty()) {
    Report(FrameRejected{
        id,
        base::Error(
            base::ErrorKind::kMalformed,
            "WebSocket message does not consist of one or more whole frames",
            "run the same release of godwitlatch on both "
            "processes")});
    return;
  }
  std::vector<IoEvent> events;
  events.reserve(frames->size());
  for (const std::string_view frame : *frames) {
    events.push_back(Decode(id, frame));
  }
  Report(std::move(events));
}

IoEvent TransportIo::Decode(ConnectionId id, std::string_view frame) {
  auto message = codec_.Decode(frame);
  if (message) {
    return FrameReceived{id, *std::move(message)};
  }
  return FrameRejected{id, codec_.last_error()};
}

void TransportIo::ScheduleCheck() {
  if (shut_down_) {
    return;
  }
  check_timer_.expires_after(std::chrono::milliseconds(
      receive_timeout_.count() / kChecksPerTimeout + 1));
  check_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (self && !ec) {
          self->CheckTimeouts();
          self->ScheduleCheck();
        }
      });
}

void TransportIo::CheckTimeouts() {
  const base::Millis earliest_valid = base::SteadyNow() - receive_timeout_;
  std::vector<ConnectionId> unresponsive;
  for (const auto& [id, connection] : connections_) {
    if (connection.last_received_at < earliest_valid) {
      unresponsive.push_back(id);
    }
    if (connection.gauge) {
      connection.gauge->socket = endpoint_->queued_bytes(id);
    }
  }
  for (const ConnectionId id : unresponsive) {
    endpoint_->Abort(
        id, base::Error(base::ErrorKind::kDeadlineExceeded,
                        "nothing was received on the link for " +
                            std::to_string(receive_timeout_.count()) + " ms",
                        "check the peer and the network between; the link is "
                        "replaced"));
  }
}

}  // namespace godwit::link
