// Output of a CallerSession: the answers that wait for the caller to read them.
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "base/clocks.h"
#include "caller_io.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"
#include "relay/caller_session.h"
#include "relay/header_list.h"

namespace godwit::relay {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// OnCallerWritable is called once the output queue is below this. Above it, the
// next request of the caller is not begun.
constexpr size_t kLowWatermarkBytes = size_t{16} * 1024;
// Maximum hex digits of a chunk size.
constexpr size_t kHexDigits = 16;

void AppendStatusLine(std::string& out, int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  out += "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason.data(), reason.size());
  out += "\r\n";
}

void AppendChunkHead(std::string& out, size_t size) {
  std::array<char, kHexDigits> digits;
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
  out.append(digits.data(), static_cast<size_t>(end - digits.data()));
  out += "\r\n";
}

}  // namespace

bool CallerSession::awaits_reader() const noexcept {
  return state_ == State::kReading && !lingering_ &&
         queued_bytes() > (close_after_answer_ ? 0 : kLowWatermarkBytes);
}

void CallerSession::Respond(int status,
                            std::string_view headers,
                            std::string_view body) {
  if (closed_ || state_ != State::kAnswering) {
    return;
  }
  std::string lines(headers);
  AppendHeader(lines, "Content-Length", std::to_string(body.size()));
  Begin(status, lines, true);
  Write(body);
  End();
}

void CallerSession::Begin(int status,
                          std::string_view headers,
                          bool has_length) {
  if (closed_) {
    return;
  }
  close_after_answer_ = close_after_answer_ || server_.TakeClose();
  chunked_ = !has_length && !is_head_;
  std::string& out = io_->outbox;
  AppendStatusLine(out, status);
  out.append(headers);
  if (chunked_) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  if (close_after_answer_) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
}

void CallerSession::Write(std::string_view bytes) {
  if (closed_ || bytes.empty() || is_head_) {
    return;
  }
  if (chunked_) {
    AppendChunkHead(io_->outbox, bytes.size());
  }
  Queue(bytes);
  if (chunked_) {
    Queue("\r\n");
  }
  Flush();
}

void CallerSession::End() {
  if (closed_) {
    return;
  }
  if (chunked_) {
    Queue("0\r\n\r\n");
  }
  chunked_ = false;
  FinishAnswer();
}

void CallerSession::FinishAnswer() {
  state_ = State::kReading;
  phase_started_at_ = base::SteadyNow();
  Flush();
  if (!closed_ && !io_->inbox.empty() && !consume_pending_) {
    consume_pending_ = true;
    asio::post(io_->socket.get_executor(), [self = shared_from_this()] {
      self->consume_pending_ = false;
      self->Consume();
      self->Read();
    });
  }
}

void CallerSession::Queue(std::string_view bytes) {
  io_->outbox.append(bytes);
}

void CallerSession::Flush() {
  Io& io = *io_;
  while (!closed_ && !awaiting_writable_ && io.sent < io.outbox.size()) {
    error_code error;
    const size_t written =
        io.socket.write_some(asio::buffer(io.outbox) + io.sent, error);
    io.sent += written;
    if (written > 0) {
      io.guard.OnSent(base::SteadyNow());
    }
    server_.traffic_.AddSent(written);
    if (error == asio::error::would_block) {
      awaiting_writable_ = true;
      io.socket.async_wait(
          asio::ip::tcp::socket::wait_write,
          [self = shared_from_this()](const error_code& failed) {
            self->awaiting_writable_ = false;
            if (!failed) {
              self->OnWritable();
            }
          });
      break;
    }
    if (error) {
      OnWriteFailed();
      return;
    }
  }
  if (closed_) {
    return;
  }
  DropSent();
  AccountBuffers();
  if (io.outbox.empty()) {
    if (!receiving_request_) {
      phase_started_at_ = base::SteadyNow();
    }
    if (close_after_answer_ && state_ == State::kReading && !lingering_) {
      Linger();
    }
  }
  UpdatePhase();
}

// A pending read reports the disconnection. Without one, the answers are
// complete and nobody else would notice.
void CallerSession::OnWriteFailed() {
  if (!reading_) {
    asio::post(io_->socket.get_executor(),
               [self = shared_from_this()] { self->OnDisconnected(); });
  }
}

void CallerSession::DropSent() {
  Io& io = *io_;
  if (io.sent == io.outbox.size()) {
    io.outbox.clear();
    io.sent = 0;
    if (io.outbox.capacity() > kLowWatermarkBytes) {
      io.outbox.shrink_to_fit();
    }
  } else if (io.sent >= kLowWatermarkBytes && io.sent * 2 >= io.outbox.size()) {
    io.outbox.erase(0, io.sent);
    io.sent = 0;
  }
}

void CallerSession::AccountBuffers() {
  const size_t now = io_->inbox.size() + io_->outbox.size();
  server_.OnBuffersChanged(std::exchange(held_bytes_, now), now);
}

size_t CallerSession::buffer_share() const noexcept {
  return server_.buffer_share();
}

void CallerSession::OnWritable() {
  Flush();
  if (closed_) {
    return;
  }
  if (awaits_answer()) {
    if (queued_bytes() < kLowWatermarkBytes) {
      server_.handler_.OnCallerWritable(shared_from_this());
    }
  } else if (!awaits_reader()) {
    Consume();
    Read();
  }
}

// Closing immediately while received bytes are unread would reset the
// connection, and the caller could lose the end of its answer.
void CallerSession::Linger() {
  lingering_ = true;
  phase_started_at_ = base::SteadyNow();
  UpdatePhase();
  error_code ignored;
  io_->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read();
}

}  // namespace godwit::relay
