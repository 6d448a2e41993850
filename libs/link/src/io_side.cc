#include "io_side.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "base/clocks.h"
#include "runtime/runtime.h"

namespace godwit::link {
namespace {

// Silence is noticed within this fraction of the limit.
constexpr int64_t kChecksPerLimit = 8;

}  // namespace

IoSide::IoSide(runtime::Runtime& runtime,
               base::Millis silence_limit,
               size_t max_frame_bytes)
    : runtime_(runtime),
      silence_limit_(silence_limit),
      codec_(max_frame_bytes),
      check_timer_(runtime.io()) {}

bool IoSide::Open(const std::optional<TlsFiles>& tls,
                  size_t max_frame_bytes,
                  base::Error& error) {
  endpoint_ =
      tls ? MakeTlsEndpoint(runtime_.io(), max_frame_bytes, *tls, MakeSink(),
                            error)
          : MakePlainEndpoint(runtime_.io(), max_frame_bytes, MakeSink());
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
  sink.on_frame = [this](ConnectionId id, const std::string& frame) {
    OnFrame(id, frame);
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
}

void IoSide::CarryOut(const DialOrder& order) {
  watched_[order.id].last_arrival = base::SteadyNow();
  endpoint_->Dial(order.id, order.ip, order.port);
}

void IoSide::CarryOut(const SendOrder& order) {
  endpoint_->Send(order.id, order.frame);
  order.gauge->outbox -= order.frame.size();
  order.gauge->socket = endpoint_->queued_bytes(order.id);
  if (const auto found = watched_.find(order.id); found != watched_.end()) {
    found->second.gauge = order.gauge;
  }
}

void IoSide::CarryOut(const CloseOrder& order) {
  endpoint_->Close(order.id);
}

void IoSide::Report(IoEvent event) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    first = events_.empty();
    events_.push_back(std::move(event));
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

void IoSide::OnFrame(ConnectionId id, const std::string& frame) {
  const auto found = watched_.find(id);
  if (found == watched_.end()) {
    return;
  }
  found->second.last_arrival = base::SteadyNow();
  auto message = codec_.Decode(frame);
  if (message) {
    Report(FrameArrived{id, *std::move(message)});
  } else {
    Report(FrameRefused{id, codec_.last_error()});
  }
}

void IoSide::ScheduleCheck() {
  if (shut_down_) {
    return;
  }
  check_timer_.expires_after(
      std::chrono::milliseconds(silence_limit_.count() / kChecksPerLimit + 1));
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
  const base::Millis oldest = base::SteadyNow() - silence_limit_;
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
                            std::to_string(silence_limit_.count()) + " ms",
                        "check the peer and the network between; the link is "
                        "replaced"));
  }
}

}  // namespace godwit::link
