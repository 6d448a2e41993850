#include "upstream_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

#include "base/clocks.h"
#include "base/digest.h"
#include "idle_reuse_limit.h"
#include "socket_options.h"

namespace godwit::relay {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Failure = AnswerHandler::Failure;

// Subtracted from the idle timeout that a server advertises, because the server
// measures it from when it sent its answer.
constexpr base::Millis kIdleMargin(500);
constexpr int64_t kMillisPerSecond = 1000;
// Received bytes that the parser does not consume: above the limit on a header
// block, and above any chunk size line or trailer. A server in trouble may send
// such a line without end.
constexpr size_t kMaxUnparsedBytes = size_t{128} * 1024;
// Bytes that a server sends before the answer to the request begins: interim
// answers, and answers to other requests. A server in trouble may send these
// without end.
constexpr size_t kMaxBytesBeforeAnswer = size_t{2} * 1024 * 1024;
// Requests with ids that one connection carries.
constexpr size_t kMaxCarried = 1024;
constexpr std::string_view kTimeout = "timeout=";

// Parses the seconds of "Keep-Alive: timeout=N".
std::optional<base::Millis> AdvertisedIdleTimeout(const AnswerHead& head) {
  const auto value = head.headers.Find("keep-alive");
  const size_t start = value ? value->find(kTimeout) : std::string_view::npos;
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  int64_t seconds = 0;
  const char* const first = value->data() + start + kTimeout.size();
  const auto [stop, error] =
      std::from_chars(first, value->data() + value->size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::max(base::Millis(0),
                  base::Millis(seconds * kMillisPerSecond) - kIdleMargin);
}

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool,
                                       base::Endpoint server)
    : pool_(pool),
      server_(std::move(server)),
      socket_(pool.io_),
      guard_(pool.options_.ack_timeout) {}

bool UpstreamConnection::HasCarried(const std::string& id) const {
  return !id.empty() && std::find(carried_.begin(), carried_.end(),
                                  base::Digest::Of(id).low()) != carried_.end();
}

bool UpstreamConnection::is_exhausted() const noexcept {
  return carried_.size() >= kMaxCarried;
}

void UpstreamConnection::Open(base::Millis now) {
  opened_at_ = now;
  error_code error;
  const auto address = asio::ip::make_address(server_.ip, error);
  const asio::ip::tcp::endpoint endpoint(address, server_.port);
  if (!error) {
    socket_.open(endpoint.protocol(), error);
  }
  if (error) {
    // Reported asynchronously: the caller of Send does not expect a callback
    // from within the call.
    asio::post(pool_.io_,
               [self = shared_from_this()] { self->Fail(Failure::kNotSent); });
    return;
  }
  socket_.non_blocking(true, error);
  SetSocketOptions(socket_, pool_.options_.ack_timeout);
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const error_code& failed) {
                          self->OnConnected(failed);
                        });
}

void UpstreamConnection::OnConnected(const error_code& error) {
  if (closed_) {
    return;
  }
  if (error) {
    Fail(Failure::kNotSent);
    return;
  }
  open_ = true;
  Write();
  Read();
}

void UpstreamConnection::Start(base::Millis now,
                               int64_t id,
                               OutgoingRequest request,
                               AnswerHandler& handler) {
  request_id_ = id;
  started_at_ = now;
  received_any_ = false;
  has_own_answer_ = false;
  bytes_before_answer_ = 0;
  if (open_) {
    idle_before_send_ = now - idle_since_;
  }
  request_ = std::move(request);
  if (!request_.id.empty()) {
    carried_.push_back(base::Digest::Of(request_.id).low());
  }
  handler_ = &handler;
  head_sent_ = 0;
  body_sent_ = 0;
  paused_ = false;
  BeginAnswer();
  if (open_) {
    Write();
  }
}

void UpstreamConnection::BeginAnswer() {
  skipping_answer_ = false;
  AnswerReader::Handler handler;
  handler.on_head = [this](const AnswerHead& head) {
    skipping_answer_ = !OnHead(head);
  };
  handler.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  reader_.emplace(std::move(handler), request_.is_head, !has_answered_);
}

void UpstreamConnection::Write() {
  static const std::string none;
  while (!closed_) {
    const std::string& body = request_.body ? *request_.body : none;
    const std::array<asio::const_buffer, 2> unsent = {
        asio::buffer(request_.head) + head_sent_,
        asio::buffer(body) + body_sent_};
    if (unsent[0].size() + unsent[1].size() == 0) {
      return;
    }
    error_code error;
    const size_t sent = socket_.write_some(unsent, error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      // An answer may be in transit or already received; the pending read
      // reports the result.
      write_failed_ = true;
      return;
    }
    pool_.traffic_.AddSent(sent);
    guard_.OnSent(base::SteadyNow());
    const size_t head_bytes = std::min(sent, unsent[0].size());
    head_sent_ += head_bytes;
    body_sent_ += sent - head_bytes;
  }
  if (closed_ || awaiting_writable_) {
    return;
  }
  awaiting_writable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](const error_code& error) {
                       self->awaiting_writable_ = false;
                       if (!error) {
                         self->Write();
                       }
                     });
}

void UpstreamConnection::Read() {
  if (closed_ || reading_ || paused_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](const error_code& error, size_t size) {
        self->reading_ = false;
        self->OnRead(error, size);
      });
}

void UpstreamConnection::OnRead(const error_code& error, size_t size) {
  if (closed_) {
    return;
  }
  pool_.traffic_.AddReceived(size);
  received_any_ = received_any_ || size > 0;
  if (handler_ == nullptr) {
    // No bytes are expected on an idle connection.
    Close();
    return;
  }
  // The kernel reports the error of a connection once, here to a write. Reads
  // after it end as if the server had closed the connection in order.
  if (error == asio::error::eof && !write_failed_) {
    reader_->FeedEnd();
    if (reader_->complete() && !skipping_answer_) {
      FinishAnswer();
    } else {
      Fail(Failure::kLost);
    }
    return;
  }
  if (error) {
    Fail(Failure::kLost);
    return;
  }
  inbox_.append(buffer_.data(), size);
  Consume();
  if (handler_ != nullptr && !has_own_answer_) {
    bytes_before_answer_ += size;
    if (bytes_before_answer_ > kMaxBytesBeforeAnswer) {
      Fail(Failure::kDamaged);
      return;
    }
  }
  Read();
}

void UpstreamConnection::Consume() {
  // A handler may cancel the request.
  const auto self = shared_from_this();
  while (handler_ != nullptr && !inbox_.empty()) {
    const int64_t id = request_id_;
    const size_t taken = reader_->Feed(inbox_);
    if (closed_ || request_id_ != id) {
      return;
    }
    inbox_.erase(0, taken);
    if (reader_->damaged() || inbox_.size() > kMaxUnparsedBytes) {
      Fail(Failure::kDamaged);
      return;
    }
    if (!reader_->complete()) {
      return;
    }
    if (skipping_answer_) {
      BeginAnswer();
      continue;
    }
    FinishAnswer();
  }
}

bool UpstreamConnection::OnHead(const AnswerHead& head) {
  if (handler_ == nullptr) {
    return false;
  }
  server_idle_timeout_ = AdvertisedIdleTimeout(head);
  has_answered_ = true;
  has_own_answer_ = handler_->OnHead(head);
  return has_own_answer_;
}

void UpstreamConnection::OnBody(std::string_view bytes) {
  if (!skipping_answer_ && handler_ != nullptr) {
    handler_->OnBody(bytes);
  }
}

void UpstreamConnection::FinishAnswer() {
  const auto self = shared_from_this();
  AnswerHandler* const handler = std::exchange(handler_, nullptr);
  const size_t body_size = request_.body ? request_.body->size() : 0;
  const bool request_sent =
      head_sent_ == request_.head.size() && body_sent_ == body_size;
  // Bytes after the answer belong to no request.
  if (!reader_->keeps_alive() || !request_sent || !inbox_.empty()) {
    Close();
  }
  pool_.Release(self);
  handler->OnEnd();
}

void UpstreamConnection::Fail(Failure failure) {
  const auto self = shared_from_this();
  AnswerHandler* const handler = std::exchange(handler_, nullptr);
  if (failure != Failure::kNotSent && head_sent_ == 0 && body_sent_ == 0) {
    failure = Failure::kNotSent;
  }
  if (failure == Failure::kLost && idle_before_send_ && !received_any_) {
    const base::Millis now = base::SteadyNow();
    pool_.idle_reuse_limit_->OnLost(now, *idle_before_send_, now - started_at_);
  }
  Close();
  pool_.Release(self);
  if (handler != nullptr) {
    handler->OnFailure(failure);
  }
}

void UpstreamConnection::CheckConnect(base::Millis now, base::Millis timeout) {
  if (!open_ && !closed_ && now - opened_at_ > timeout) {
    Fail(Failure::kNotSent);
  }
}

void UpstreamConnection::CheckSending(base::Millis now) {
  if (open_ && !closed_ && guard_.IsPeerGone(now, socket_)) {
    Fail(Failure::kLost);
  }
}

void UpstreamConnection::BecomeIdle(base::Millis now,
                                    base::Millis idle_timeout) {
  request_id_ = 0;
  request_ = OutgoingRequest();
  idle_since_ = now;
  idle_until_ =
      now + std::min(idle_timeout, server_idle_timeout_.value_or(idle_timeout));
  Resume();
}

void UpstreamConnection::Drop() {
  handler_ = nullptr;
  Close();
}

void UpstreamConnection::Pause() {
  paused_ = true;
}

void UpstreamConnection::Resume() {
  paused_ = false;
  if (open_) {
    Read();
  }
}

void UpstreamConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace godwit::relay
