#include "call_operation.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "call_event_queue.h"
#include "connection_pool.h"
#include "guard/head_rules.h"
#include "http/request.h"
#include "messages.h"
#include "runtime/runtime.h"
#include "watchdog.h"

namespace godwit::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 8 * 1024;
// Lower statuses are interim responses, which another response follows.
constexpr unsigned kFirstFinalStatus = 200;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
// Received bytes that are not parsed yet: above the limit on a head, and above
// any chunk size line or trailer. A server may send such a line without end.
constexpr size_t kMaxUnparsedBytes = size_t{128} * 1024;
// Bytes of the interim responses before the final one.
constexpr size_t kMaxInterimBytes = size_t{64} * 1024;

base::Error ConnectionError(const std::string& server, error_code ec) {
  return {base::ErrorKind::kUnavailable,
          "the connection to " + server + " failed: " + ec.message(),
          "check that the server runs and can be reached"};
}

base::Error TimeoutError(const std::string& server, const std::string& what) {
  return {base::ErrorKind::kDeadlineExceeded,
          server + " did not answer: " + what + " is over",
          "check that the server runs, or allow more time"};
}

base::Error MalformedError(const std::string& server,
                           const std::string& reason) {
  return {base::ErrorKind::kUnavailable,
          server + " sent no valid HTTP response: " + reason,
          "check what listens on that address"};
}

base::Error CancelledError() {
  return {base::ErrorKind::kCancelled, "the call was cancelled",
          "repeat it if it is still needed"};
}

class SocketOperation : public CallOperation,
                        public std::enable_shared_from_this<SocketOperation> {
 public:
  SocketOperation(std::shared_ptr<ConnectionPool> connections,
                  std::shared_ptr<CallEventQueue> events,
                  const Request& request,
                  Timeouts timeouts)
      : connections_(std::move(connections)),
        events_(std::move(events)),
        timeouts_(timeouts),
        without_body_(request.method == "HEAD"),
        request_text_(SerializeRequest(request, connections_->HostField())),
        socket_(connections_->runtime().io()),
        idle_watchdog_(connections_->runtime().io()),
        total_watchdog_(connections_->runtime().io()) {
    ExpectResponse();
  }

  void Start() override {
    PostToIo([](SocketOperation& self) { self.Begin(); });
  }

  void Resume() override {
    PostToIo([](SocketOperation& self) { self.ReadBody(); });
  }

  void Cancel() override {
    PostToIo([](SocketOperation& self) { self.Stop(CancelledError()); });
  }

 private:
  template <typename Function>
  void PostToIo(Function function) {
    asio::post(connections_->runtime().io(),
               [self = shared_from_this(), function] {
                 if (!self->ended_) {
                   function(*self);
                 }
               });
  }

  template <typename Method>
  auto Bound(Method method) {
    return [self = shared_from_this(), method](error_code ec, auto... args) {
      ((*self).*method)(ec, args...);
    };
  }

  void Begin() {
    if (timeouts_.total) {
      total_watchdog_.Start(*timeouts_.total,
                            [this] { StopOnTimeout("the total timeout"); });
    }
    idle_watchdog_.Start(timeouts_.idle,
                         [this] { StopOnTimeout("the idle timeout"); });
    if (auto pooled = connections_->TakeIdle()) {
      reused_ = true;
      socket_ = std::move(*pooled);
      Write();
      return;
    }
    Connect();
  }

  void Connect() {
    error_code ec;
    const auto address = asio::ip::make_address(connections_->ip(), ec);
    if (ec) {
      End(ConnectionError(connections_->HostField(), ec));
      return;
    }
    operation_pending_ = true;
    socket_.async_connect(tcp::endpoint(address, connections_->port()),
                          Bound(&SocketOperation::OnConnected));
  }

  void OnConnected(error_code ec) {
    if (EndIfFailed(ec)) {
      return;
    }
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    Write();
  }

  void Write() {
    operation_pending_ = true;
    socket_.async_write_some(asio::buffer(request_text_) + written_,
                             Bound(&SocketOperation::OnWritten));
  }

  void OnWritten(error_code ec, size_t bytes) {
    written_ += bytes;
    if (ec && !stopped_ && reused_ && written_ == 0) {
      Reconnect();
      return;
    }
    if (EndIfFailed(ec)) {
      return;
    }
    if (written_ < request_text_.size()) {
      Write();
      return;
    }
    ReadHead();
  }

  // Replaces a pooled connection that the server closed before any byte of the
  // request was written.
  void Reconnect() {
    reused_ = false;
    error_code ec;
    socket_.close(ec);
    Connect();
  }

  void ExpectResponse() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(std::numeric_limits<uint64_t>::max());
    parser_->skip(without_body_);
  }

  // Reads until the head of the final response is complete.
  void ReadHead() {
    operation_pending_ = true;
    socket_.async_read_some(buffer_.prepare(kReadBytes),
                            Bound(&SocketOperation::OnHeadBytes));
  }

  void OnHeadBytes(error_code ec, size_t bytes) {
    if (EndIfFailed(ec)) {
      return;
    }
    buffer_.commit(bytes);
    while (ParseHead()) {
      if (parser_->get().result_int() >= kFirstFinalStatus) {
        OnHead();
        return;
      }
      ExpectResponse();
    }
    if (!ended_) {
      ReadHead();
    }
  }

  // Parses one head. Returns false if more bytes are needed or the call ended,
  // since the head is not valid.
  bool ParseHead() {
    if (buffer_.size() == 0) {
      return false;
    }
    const std::string_view unread(
        static_cast<const char*>(buffer_.data().data()), buffer_.size());
    if (guard::HasFoldedLine(unread)) {
      return Reject("a header line is folded");
    }
    error_code ec;
    const size_t parsed = parser_->put(buffer_.data(), ec);
    buffer_.consume(parsed);
    if (ec == beast::http::error::need_more) {
      return false;
    }
    if (ec) {
      return Reject(ec.message());
    }
    const auto& head = parser_->get();
    if (!guard::IsAnswerStatus(static_cast<int>(head.result_int()))) {
      return Reject("status " + std::to_string(head.result_int()));
    }
    if (!guard::IsUnambiguous(FramingOf(head.base()))) {
      return Reject("the length of the body is ambiguous");
    }
    interim_bytes_ += parsed;
    if (head.result_int() < kFirstFinalStatus &&
        interim_bytes_ > kMaxInterimBytes) {
      return Reject("interim responses without end");
    }
    return true;
  }

  // Ends the call; returns false.
  bool Reject(const std::string& reason) {
    End(MalformedError(connections_->HostField(), reason));
    return false;
  }

  void OnHead() {
    Response response;
    response.status = static_cast<int>(parser_->get().result_int());
    response.headers = ToHeaders(parser_->get().base());
    events_->Push(CallHead{std::move(response)});
    ReadBody();
  }

  void ReadBody() {
    if (parser_->is_done()) {
      Finish();
      return;
    }
    idle_watchdog_.Start(timeouts_.idle,
                         [this] { StopOnTimeout("the idle timeout"); });
    operation_pending_ = true;
    parser_->get().body().data = piece_.data();
    parser_->get().body().size = piece_.size();
    beast::http::async_read_some(socket_, buffer_, *parser_,
                                 Bound(&SocketOperation::OnBody));
  }

  void OnBody(error_code ec, size_t /*bytes*/) {
    if (ec == beast::http::error::need_buffer) {
      ec = {};
    }
    if (EndIfFailed(ec)) {
      return;
    }
    const size_t bytes = piece_.size() - parser_->get().body().size;
    bool wait = false;
    if (bytes > 0) {
      wait = events_->Push(CallBody{std::string(piece_.data(), bytes)});
    }
    if (wait && !parser_->is_done()) {
      idle_watchdog_.Stop();
      return;
    }
    ReadBody();
  }

  void Finish() {
    const bool reusable = parser_->keep_alive() && buffer_.size() == 0;
    if (reusable) {
      connections_->PutIdle(std::move(socket_));
    }
    ended_ = true;
    idle_watchdog_.Stop();
    total_watchdog_.Stop();
    events_->Push(CallDone{});
  }

  // Ends the call if the operation that just completed failed or the call was
  // stopped. Returns true if the call ended.
  bool EndIfFailed(error_code ec) {
    operation_pending_ = false;
    if (stopped_) {
      End(*stopped_);
      return true;
    }
    if (ec) {
      End(ConnectionError(connections_->HostField(), ec));
      return true;
    }
    idle_watchdog_.Touch();
    return false;
  }

  // Also closes the idle connections, since whatever made this connection
  // unresponsive may have affected them as well.
  void StopOnTimeout(const std::string& timeout) {
    connections_->Clear();
    Stop(TimeoutError(connections_->HostField(), timeout));
  }

  // Ends the call with `error`: at once if no operation is in flight, else when
  // that operation has completed and reported how many bytes it wrote.
  void Stop(const base::Error& error) {
    stopped_ = error;
    error_code ec;
    socket_.close(ec);
    if (!operation_pending_) {
      End(error);
    }
  }

  void End(const base::Error& error) {
    if (ended_) {
      return;
    }
    ended_ = true;
    idle_watchdog_.Stop();
    total_watchdog_.Stop();
    error_code ec;
    socket_.close(ec);
    events_->Push(CallFailed{error, written_ > 0});
  }

  std::shared_ptr<ConnectionPool> connections_;
  std::shared_ptr<CallEventQueue> events_;
  const Timeouts timeouts_;
  // Whether the request is HEAD, whose response has no body.
  const bool without_body_;
  const std::string request_text_;
  size_t written_ = 0;
  tcp::socket socket_;
  // Whether the connection comes from the pool.
  bool reused_ = false;
  // Whether an operation on the socket is in flight.
  bool operation_pending_ = false;
  std::optional<base::Error> stopped_;
  bool ended_ = false;
  Watchdog idle_watchdog_;
  Watchdog total_watchdog_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  size_t interim_bytes_ = 0;
  std::optional<beast::http::response_parser<beast::http::buffer_body>> parser_;
  std::array<char, kReadBytes> piece_{};
};

}  // namespace

std::shared_ptr<CallOperation> CallOperation::Make(
    std::shared_ptr<ConnectionPool> connections,
    std::shared_ptr<CallEventQueue> events,
    const Request& request,
    Timeouts timeouts) {
  return std::make_shared<SocketOperation>(
      std::move(connections), std::move(events), request, timeouts);
}

}  // namespace godwit::http
