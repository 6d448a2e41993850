#include "io_side.h"

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

// Frames that wait together share a WebSocket message up to this size.
constexpr size_t kBatchBytes = size_t{64} * 1024;
// Silence is noticed within this fraction of the limit.
constexpr int64_t kChecksPerLimit = 8;

}  // namespace

IoSide::IoSide(runtime::Runtime& runtime,
               base::Millis receive_timeout,
               size_t max_frame_bytes)
    : runtime_(runtime),
      receive_timeout_(receive_timeout),
      codec_(max_frame_bytes),
      check_timer_(runtime.io()) {}

bool IoSide::Open(const std::optional<TlsFiles>& tls,
                  size_t max_frame_bytes,
                  base::Error& error) {
  const size_t limit =
      std::max(max_frame_bytes, kBatchBytes) + kFrameLengthBytes;
  endpoint_ =
      tls ? MakeTlsEndpoint(runtime_.io(), limit, *tls, MakeSink(), error)
          : MakePlainEndpoint(runtime_.io(), limit, MakeSink());
  return endpoint_ != nullptr;
}

std::optional<uint16_t> IoSide::Listen(const std::string& ip,
                                       uint16_t port,
                                       base::Error& error) {
  return endpoint_->Listen(ip, port, error);
}

bool IoSide::ReloadTls(const TlsFiles& files, base::Error& error) {
  return endpoint_->ReloadTls(files, error);
}

void IoSide::Start(Drain drain) {
  drain_ = std::move(drain);
  boost::asio::post(runtime_.io(),
                    [self = shared_from_this()] { self->ScheduleCheck(); });
}

EndpointSink IoSide::MakeSink() {
  EndpointSink sink;
  sink.next_id = [this] { return next_id_++; };
  sink.on_open = [this](ConnectionId id) {
    watched_[id].last_arrival = base::SteadyNow();
    Report(LinkOpened{id});
  };
  sink.on_message = [this](ConnectionId id, const std::string& message) {
    OnMessage(id, message);
  };
  sink.on_reject = [this](base::Error reason) {
    Report(PeerRejected{std::move(reason)});
  };
  sink.on_close = [this](ConnectionId id, base::Error reason) {
    watched_.erase(id);
    Report(LinkClosed{id, std::move(reason)});
  };
  return sink;
}

ConnectionId IoSide::Dial(std::string ip, uint16_t port) {
  const ConnectionId id = next_id_++;
  Enqueue(DialOrder{id, std::move(ip), port});
  return id;
}

void IoSide::Send(ConnectionId id,
                  std::string frame,
                  std::shared_ptr<SendQueueGauge> gauge) {
  gauge->outbox += frame.size();
  Enqueue(SendOrder{id, std::move(frame), std::move(gauge)});
}

void IoSide::Close(ConnectionId id) {
  Enqueue(CloseOrder{id});
}

void IoSide::Shutdown() {
  drain_ = nullptr;
  boost::asio::post(runtime_.io(), [self = shared_from_this()] {
    self->CarryOutAll();
    self->shut_down_ = true;
    self->check_timer_.cancel();
    self->watched_.clear();
    self->endpoint_->Shutdown();
  });
}

void IoSide::Enqueue(Order order) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    first = orders_.empty();
    orders_.push_back(std::move(order));
  }
  if (first) {
    boost::asio::post(runtime_.io(),
                      [self = shared_from_this()] { self->CarryOutAll(); });
  }
}

void IoSide::CarryOutAll() {
  std::vector<Order> orders;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    orders.swap(orders_);
  }
  if (shut_down_) {
    return;
  }
  for (const Order& order : orders) {
    std::visit([this](const auto& typed) { CarryOut(typed); }, order);
  }
  FlushAll();
}

void IoSide::Flush(ConnectionId id) {
  const auto found = batches_.find(id);
  if (found == batches_.end()) {
    return;
  }
  endpoint_->Send(id, found->second);
  batches_.erase(found);
  const auto watched = watched_.find(id);
  if (watched != watched_.end() && watched->second.gauge) {
    watched->second.gauge->socket = endpoint_->queued_bytes(id);
  }
}

void IoSide::FlushAll() {
  while (!batches_.empty()) {
    Flush(batches_.begin()->first);
  }
}

void IoSide::CarryOut(const DialOrder& order) {
  watched_[order.id].last_arrival = base::SteadyNow();
  endpoint_->Dial(order.id, order.ip, order.port);
}

void IoSide::CarryOut(const SendOrder& order) {
  order.gauge->outbox -= order.frame.size();
  const auto found = watched_.find(order.id);
  if (found == watched_.end()) {
    return;
  }
  found->second.gauge = order.gauge;
  std::string& batch = batches_[order.id];
  if (!batch.empty() && batch.size() + order.frame.size() > kBatchBytes) {
    Flush(order.id);
  }
  AppendFrame(batches_[order.id], order.frame);
}

void IoSide::CarryOut(const CloseOrder& order) {
  Flush(order.id);
  endpoint_->Close(order.id);
}

void IoSide::Report(IoEvent event) {
  std::vector<IoEvent> events;
  events.push_back(std::move(event));
  Report(std::move(events));
}

void IoSide::Report(std::vector<IoEvent> events) {
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

void IoSide::ReportAll() {
  std::vector<IoEvent> events;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    events.swap(events_);
  }
  if (drain_) {
    drain_(std::move(events));
  }
}

void IoSide::OnMessage(ConnectionId id, const std::string& batch) {
  const auto found = watched_.find(id);
  if (found == watched_.end()) {
    return;
  }
  found->second.last_arrival = base::SteadyNow();
  const auto frames = SplitFrames(batch);
  if (!frames || frames->empty()) {
    Report(FrameRefused{
        id, base::Error(base::ErrorKind::kMalformed,
                        "message is not made of whole frames",
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

IoEvent IoSide::Decode(ConnectionId id, std::string_view frame) {
  auto message = codec_.Decode(frame);
  if (message) {
    return FrameArrived{id, *std::move(message)};
  }
  return FrameRefused{id, codec_.last_error()};
}

void IoSide::ScheduleCheck() {
  if (shut_down_) {
    return;
  }
  check_timer_.expires_after(std::chrono::milliseconds(
      receive_timeout_.count() / kChecksPerLimit + 1));
  check_timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (self && !ec) {
          self->CheckSilence();
          self->ScheduleCheck();
        }
      });
}

void IoSide::CheckSilence() {
  const base::Millis oldest = base::SteadyNow() - receive_timeout_;
  std::vector<ConnectionId> silent;
  for (const auto& [id, watched] : watched_) {
    if (watched.last_arrival < oldest) {
      silent.push_back(id);
    }
    if (watched.gauge) {
      watched.gauge->socket = endpoint_->queued_bytes(id);
    }
  }
  for (const ConnectionId id : silent) {
    endpoint_->Abort(
        id, base::Error(base::ErrorKind::kDeadlineExceeded,
                        "nothing arrived on the link for " +
                            std::to_string(receive_timeout_.count()) + " ms",
                        "check the peer and the network between; the link is "
                        "replaced"));
  }
}

}  // namespace godwit::link
