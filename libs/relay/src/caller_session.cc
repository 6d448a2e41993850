#include "relay/caller_session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

#include "base/clocks.h"
#include "caller_io.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"
#include "relay/header_list.h"

namespace godwit::relay {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kRequestTimeoutStatus = 408;
constexpr int kUnavailableStatus = 503;
// Maximum bytes of pipelined requests buffered while one is being answered.
constexpr size_t kMaxPipelinedBytes = size_t{64} * 1024;
// Maximum wait for a caller to close its side after its last answer.
constexpr base::Millis kLingerTimeout(1000);

}  // namespace

CallerSession::CallerSession(CallerServer& server, std::unique_ptr<Io> io)
    : server_(server),
      io_(std::move(io)),
      phase_started_at_(base::SteadyNow()) {}

CallerSession::~CallerSession() = default;

void CallerSession::Start() {
  Read();
}

void CallerSession::Read() {
  if (closed_ || reading_ || consume_pending_ || io_->no_room_since ||
      awaits_reader()) {
    return;
  }
  reading_ = true;
  io_->socket.async_read_some(
      asio::buffer(io_->buffer),
      [self = shared_from_this()](const error_code& error, size_t size) {
        self->reading_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->OnDisconnected();
          return;
        }
        self->OnRead(size);
      });
}

void CallerSession::OnRead(size_t size) {
  server_.traffic_.AddReceived(size);
  if (lingering_ || close_after_answer_) {
    Discard(size);
    return;
  }
  io_->inbox.append(io_->buffer.data(), size);
  AccountBuffers();
  if (state_ == State::kAnswering && io_->inbox.size() > kMaxPipelinedBytes) {
    // Reading on would let one caller exhaust memory; not reading would hide
    // its disconnection.
    ++server_.closed_.pipelined;
    OnDisconnected();
    return;
  }
  Consume();
  Read();
}

void CallerSession::Discard(size_t size) {
  discarded_bytes_ += size;
  if (!lingering_ && discarded_bytes_ > kMaxPipelinedBytes) {
    ++server_.closed_.pipelined;
    OnDisconnected();
    return;
  }
  Read();
}

void CallerSession::Consume() {
  if (closed_ || close_after_answer_ || state_ == State::kAnswering ||
      awaits_reader() || io_->no_room_since || io_->inbox.empty()) {
    return;
  }
  if (!receiving_request_) {
    receiving_request_ = true;
    phase_started_at_ = base::SteadyNow();
    const CallerServer::Limits& limits = server_.limits();
    io_->reader = RequestReader({limits.header_bytes, limits.body_bytes});
    UpdatePhase();
  }
  const bool had_head = io_->reader.has_head();
  const size_t taken = io_->reader.Feed(io_->inbox);
  io_->inbox.erase(0, taken);
  AccountBuffers();
  if (io_->reader.refusal_status() != 0) {
    ReleaseBody();
    Refuse(io_->reader.refusal_status(), io_->reader.refusal_reason());
    return;
  }
  if (io_->reader.complete()) {
    OnRequestComplete();
    return;
  }
  UpdatePhase();
  if (io_->reader.has_head() && !ReserveBody()) {
    io_->no_room_since = base::SteadyNow();
  }
  if (!had_head && io_->reader.has_head() &&
      io_->reader.head().headers.HasToken("expect", "100-continue")) {
    Queue("HTTP/1.1 100 Continue\r\n\r\n");
    Flush();
  }
}

bool CallerSession::HasCallerDisconnected() {
  if (io_->inbox.size() >= Io::kReadBytes) {
    // The end of the connection is behind further requests.
    return false;
  }
  error_code error;
  const size_t size = io_->socket.read_some(asio::buffer(io_->buffer), error);
  if (close_after_answer_) {
    discarded_bytes_ += size;
  } else {
    io_->inbox.append(io_->buffer.data(), size);
  }
  return error && error != asio::error::would_block;
}

void CallerSession::OnRequestComplete() {
  receiving_request_ = false;
  close_after_answer_ =
      io_->reader.head().headers.HasToken("connection", "close");
  if (close_after_answer_) {
    io_->inbox.clear();
  }
  if (HasCallerDisconnected()) {
    OnDisconnected();
    return;
  }
  if (!ReserveRequest()) {
    ReleaseBody();
    RefuseForMemory();
    return;
  }
  state_ = State::kAnswering;
  has_request_ = true;
  UpdatePhase();
  ReceivedRequest request;
  request.head = io_->reader.head();
  request.body = TakeBody();
  request.received_at = base::SteadyNow();
  is_head_ = request.head.method == "HEAD";
  server_.handler_.OnRequest(shared_from_this(), std::move(request));
}

void CallerSession::Refuse(int status, const std::string& reason) {
  server_.handler_.OnRequestRefused(status, reason);
  state_ = State::kAnswering;
  has_request_ = true;
  is_head_ = false;
  // The start of the next request cannot be determined reliably.
  close_after_answer_ = true;
  io_->inbox.clear();
  const std::string retry =
      status == kUnavailableStatus ? "Retry-After: 1\r\n" : "";
  Respond(status, "Content-Type: text/plain\r\n" + retry, reason + "\n");
}

size_t CallerSession::queued_bytes() const noexcept {
  return io_->outbox.size() - io_->sent;
}

void CallerSession::Abort() {
  Close();
}

void CallerSession::OnDisconnected() {
  const auto self = shared_from_this();
  const bool was_awaited = awaits_answer();
  Close();
  if (was_awaited) {
    server_.handler_.OnCallerDisconnected(self);
  }
}

void CallerSession::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  // A request in progress may keep the session for long.
  io_->inbox = {};
  io_->outbox = {};
  io_->sent = 0;
  AccountBuffers();
  ReleaseBody();
  error_code ignored;
  io_->socket.close(ignored);
  server_.Remove(shared_from_this());
}

void CallerSession::CloseIfIdle() {
  error_code error;
  if (!closed_ && !lingering_ && !is_busy() &&
      io_->socket.available(error) == 0) {
    Close();
  }
}

void CallerSession::Tick(base::Millis now) {
  if (!closed_ && io_->guard.IsPeerGone(now, io_->socket)) {
    OnDisconnected();
  }
  if (!closed_ && io_->no_room_since) {
    AwaitRoom(now);
  }
  if (!closed_) {
    CheckReading(now);
  }
  if (closed_ || state_ == State::kAnswering || queued_bytes() > 0) {
    return;
  }
  const CallerServer::Limits& limits = server_.limits();
  if (lingering_) {
    if (now - phase_started_at_ > kLingerTimeout) {
      Close();
    }
    return;
  }
  if (receiving_request_ && now - phase_started_at_ > limits.request_timeout) {
    receiving_request_ = false;
    ReleaseBody();
    Refuse(kRequestTimeoutStatus, "the request took too long to arrive");
  } else if (!receiving_request_ &&
             now - phase_started_at_ > limits.keep_alive_timeout) {
    Close();
  }
}

void CallerSession::CheckReading(base::Millis now) {
  const base::Millis silent = now - io_->guard.progressed_at();
  is_unread_ = queued_bytes() > 0 && silent >= CallerServer::kAckTimeout;
  if (queued_bytes() > 0 && silent > server_.limits().unread_timeout) {
    ++server_.closed_.unread;
    OnDisconnected();
    return;
  }
  UpdatePhase();
}

bool CallerSession::HasUnreadBytes() const {
  error_code error;
  return io_->socket.available(error) > 0 && !error;
}

guard::ConnectionPhase CallerSession::Phase() const noexcept {
  using Phase = guard::ConnectionPhase;
  if (lingering_) {
    return Phase::kClosing;
  }
  if (is_unread_) {
    return Phase::kUnread;
  }
  if (state_ == State::kAnswering || queued_bytes() > 0) {
    return Phase::kServed;
  }
  if (receiving_request_) {
    return io_->reader.has_head() ? Phase::kReceivingBody
                                  : Phase::kReceivingHead;
  }
  return has_request_ ? Phase::kIdle : Phase::kReceivingHead;
}

void CallerSession::UpdatePhase() {
  if (!closed_) {
    server_.places_.Enter(place_, Phase());
  }
}

}  // namespace godwit::relay
