#include "session.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <type_traits>
#include <utility>

#include "base/clocks.h"
#include "body_reservation.h"
#include "exchange_state.h"
#include "http/error_response.h"
#include "messages.h"
#include "refusal.h"
#include "response_output.h"
#include "runtime/runtime.h"
#include "session_context.h"
#include "tls_context.h"
#include "watchdog.h"

namespace godwit::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;
using PlainStream = tcp::socket;
using TlsStream = asio::ssl::stream<tcp::socket>;

// Maximum time for which a connection may stay open between requests.
constexpr base::Millis kKeepAliveTimeout = base::Seconds(60);
// Maximum time for which a closing connection waits for its caller to close, so
// that unread bytes don't reset the connection and destroy the last response.
constexpr base::Millis kLingerTimeout = base::Seconds(2);
constexpr size_t kReadBytes = 4096;
// Received bytes that are not parsed yet, beside the limit on the head: also
// bounds trailers, and chunk sizes with their extensions.
constexpr size_t kMaxUnparsedBytes = size_t{64} * 1024;
// Bytes of the framing of a body for each of its bytes, beside the limit on the
// head.
constexpr size_t kMaxFramingPerBodyByte = 16;
// Time without progress after which an answer counts as not read.
constexpr base::Millis kUnreadTime = base::Seconds(5);
constexpr unsigned kHttp11 = 11;
constexpr int kUnavailableStatus = 503;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

bool IsParseError(error_code ec) {
  return ec.category() ==
             beast::http::make_error_code(beast::http::error::bad_method)
                 .category() &&
         ec != beast::http::error::end_of_stream;
}

// Reads one request at a time and sends its response. While the response is
// produced, a pending read detects that the caller disconnects.
template <typename Stream>
class StreamSession
    : public Session,
      public std::enable_shared_from_this<StreamSession<Stream>> {
 public:
  template <typename... StreamArgs>
  StreamSession(std::shared_ptr<SessionContext> context,
                std::shared_ptr<TlsContext> tls,
                StreamArgs&&... stream_args)
      : context_(std::move(context)),
        tls_(std::move(tls)),
        stream_(std::forward<StreamArgs>(stream_args)...),
        watchdog_(context_->runtime.io()),
        buffer_(std::max(context_->max_header_bytes, kMaxUnparsedBytes)),
        body_(context_->bodies) {}

  void Start() override {
    bool has_place = context_->sessions.size() < context_->max_connections;
    while (!has_place && context_->MakePlace()) {
      has_place = context_->sessions.size() < context_->max_connections;
    }
    place_ = context_->places.Add();
    context_->sessions[place_] = this;
    if (!has_place) {
      RefuseConnection();
    } else if constexpr (kTls) {
      StartCloseTimeout(context_->read_timeout);
      stream_.async_handshake(asio::ssl::stream_base::server,
                              Bound(&StreamSession::OnHandshake));
    } else {
      NextRequest();
    }
  }

  void CloseIfIdle() override {
    if (phase_ == Phase::kIdle) {
      Close();
    }
  }

  void Close() override {
    if (phase_ == Phase::kClosed) {
      return;
    }
    phase_ = Phase::kClosed;
    watchdog_.Stop();
    context_->sessions.erase(place_);
    context_->places.Remove(place_);
    body_.Release();
    error_code ec;
    Socket().close(ec);
    if (auto exchange = std::exchange(exchange_, nullptr)) {
      --context_->unanswered;
      context_->runtime.Post([exchange] { exchange->CallerDisconnected(); });
    }
  }

  bool IsUnread(base::Millis now) const override {
    return writing_ && now - write_started_at_ >= kUnreadTime;
  }

  void Respond(Response response) override {
    PostToIo([response = std::move(response)](StreamSession& self) {
      self.DisableKeepAliveIfStopping();
      self.output_.SetComplete(response);
      self.WriteQueued();
    });
  }

  void BeginStream(int status, Headers headers) override {
    PostToIo([status, headers = std::move(headers)](StreamSession& self) {
      self.DisableKeepAliveIfStopping();
      self.output_.BeginStream(status, headers);
      self.WriteQueued();
    });
  }

  void Write(std::string bytes) override {
    PostToIo([bytes = std::move(bytes)](StreamSession& self) {
      self.output_.Append(bytes);
      self.WriteQueued();
    });
  }

  void EndStream() override {
    PostToIo([](StreamSession& self) {
      self.output_.EndStream();
      self.WriteQueued();
    });
  }

  void Abort() override {
    PostToIo([](StreamSession& self) { self.Close(); });
  }

 private:
  static constexpr bool kTls = std::is_same_v<Stream, TlsStream>;

  enum class Phase : uint8_t {
    kIdle,
    kReading,
    kResponding,
    kLingering,
    kClosed,
  };

  using Place = guard::ConnectionPhase;
  using Parser = beast::http::request_parser<beast::http::string_body>;

  template <typename Function>
  void PostToIo(Function function) {
    asio::post(context_->runtime.io(), [self = this->shared_from_this(),
                                        function = std::move(function)] {
      if (self->phase_ == Phase::kResponding) {
        function(*self);
      }
    });
  }

  template <typename Method>
  auto Bound(Method method) {
    return
        [self = this->shared_from_this(), method](error_code ec, auto... args) {
          if (self->phase_ != Phase::kClosed) {
            ((*self).*method)(ec, args...);
          }
        };
  }

  tcp::socket& Socket() noexcept {
    if constexpr (kTls) {
      return stream_.next_layer();
    } else {
      return stream_;
    }
  }

  // Closes the connection unless the watchdog is touched within `span`.
  void StartCloseTimeout(base::Millis span) {
    watchdog_.Start(span, [this] { Close(); });
  }

  void OnHandshake(error_code ec) {
    if (ec) {
      Close();
      return;
    }
    NextRequest();
  }

  void Enter(Place phase) { context_->places.Enter(place_, phase); }

  void RefuseConnection() {
    if constexpr (kTls) {
      Close();
    } else {
      Refuse(ConnectionLimitRefusal());
    }
  }

  void NextRequest() {
    phase_ = Phase::kIdle;
    Enter(has_request_ ? Place::kIdle : Place::kReceivingHead);
    if (context_->stopping && buffer_.size() == 0) {
      Linger();
      return;
    }
    if (buffer_.size() > 0) {
      ReadHeader();
      return;
    }
    StartCloseTimeout(kKeepAliveTimeout);
    ReadAhead();
  }

  // Starts a read of at most kReadBytes, unless one is pending or there are
  // unparsed bytes.
  void ReadAhead() {
    if (reading_ahead_ || buffer_.size() > 0) {
      return;
    }
    reading_ahead_ = true;
    stream_.async_read_some(buffer_.prepare(kReadBytes),
                            Bound(&StreamSession::OnReadAhead));
  }

  void OnReadAhead(error_code ec, size_t bytes) {
    reading_ahead_ = false;
    if (ec) {
      Close();
      return;
    }
    buffer_.commit(bytes);
    if (phase_ == Phase::kIdle) {
      ReadHeader();
    } else if (phase_ == Phase::kLingering) {
      Discard();
    }
  }

  void ReadHeader() {
    phase_ = Phase::kReading;
    Enter(Place::kReceivingHead);
    timed_out_ = false;
    framing_bytes_ = 0;
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(context_->max_header_bytes));
    parser_->body_limit(context_->max_body_bytes);
    watchdog_.Start(context_->read_timeout, [this] {
      timed_out_ = true;
      error_code ec;
      Socket().cancel(ec);
    });
    beast::http::async_read_header(stream_, buffer_, *parser_,
                                   Bound(&StreamSession::OnHeader));
  }

  void OnHeader(error_code ec, size_t /*bytes*/) {
    if (ec) {
      OnReadFailed(ec);
      return;
    }
    if (parser_->get().version() != kHttp11) {
      Refuse(VersionRefusal());
      return;
    }
    Enter(Place::kReceivingBody);
    const auto length = parser_->content_length();
    if (length && !body_.Reserve(static_cast<size_t>(*length))) {
      Refuse(MemoryRefusal());
      return;
    }
    const auto expect = parser_->get()[beast::http::field::expect];
    if (beast::iequals(expect, "100-continue") && !parser_->is_done()) {
      asio::async_write(stream_,
                        asio::buffer(kContinue.data(), kContinue.size()),
                        Bound(&StreamSession::OnContinueSent));
      return;
    }
    ReadBody();
  }

  void OnContinueSent(error_code ec, size_t /*bytes*/) {
    if (ec) {
      OnReadFailed(ec);
      return;
    }
    ReadBody();
  }

  void ReadBody() {
    if (parser_->is_done()) {
      OnRequest();
      return;
    }
    body_before_ = parser_->get().body().size();
    beast::http::async_read_some(stream_, buffer_, *parser_,
                                 Bound(&StreamSession::OnBody));
  }

  void OnBody(error_code ec, size_t bytes) {
    if (ec) {
      OnReadFailed(ec);
      return;
    }
    const size_t body = parser_->get().body().size();
    framing_bytes_ += bytes - std::min(bytes, body - body_before_);
    if (framing_bytes_ >
        context_->max_header_bytes + kMaxFramingPerBodyByte * body) {
      Refuse(FramingRefusal());
    } else if (!body_.Reserve(body)) {
      Refuse(MemoryRefusal());
    } else {
      ReadBody();
    }
  }

  void OnRequest() {
    body_.Complete(parser_->get().body().size());
    watchdog_.Stop();
    BeginResponse();
    Request request;
    request.method = std::string(parser_->get().method_string());
    request.target = std::string(parser_->get().target());
    request.headers = ToHeaders(parser_->get().base());
    request.body = std::move(parser_->get().body());
    exchange_ = std::make_shared<Exchange::State>(std::move(request),
                                                  this->shared_from_this());
    ++context_->unanswered;
    context_->runtime.Post([context = context_, state = exchange_] {
      auto exchange = std::make_shared<Exchange>(state);
      if (context->handler) {
        context->handler(std::move(exchange));
      }
    });
    buffer_.shrink_to_fit();
    ReadAhead();
  }

  void OnReadFailed(error_code ec) {
    if (timed_out_) {
      Refuse(TimeoutRefusal());
    } else if (IsParseError(ec)) {
      Refuse(RefusalFor(ec));
    } else {
      Close();
    }
  }

  void BeginResponse() {
    phase_ = Phase::kResponding;
    has_request_ = true;
    Enter(Place::kServed);
    output_.Reset({parser_->get().method() == beast::http::verb::head,
                   parser_->get().keep_alive()});
  }

  void DisableKeepAliveIfStopping() {
    if (context_->stopping) {
      output_.DisableKeepAlive();
    }
  }

  void Refuse(const Refusal& refusal) {
    phase_ = Phase::kResponding;
    body_.Release();
    parser_.reset();
    Enter(Place::kClosing);
    output_.Reset({/*without_body=*/false, /*keep_alive=*/false});
    Response response = ErrorResponse(refusal.status, refusal.error, true);
    if (refusal.status == kUnavailableStatus) {
      response.headers["retry-after"] = "1";
    }
    output_.SetComplete(response);
    WriteQueued();
  }

  // Sends the queued output, one piece at a time.
  void WriteQueued() {
    if (writing_) {
      return;
    }
    if (output_.NextPiece()) {
      WriteSome();
      return;
    }
    // The response to a HEAD request discards its body bytes without making a
    // piece; they count as drained.
    ReportDrained();
    if (output_.ended()) {
      FinishResponse();
    }
  }

  void WriteSome() {
    writing_ = true;
    write_started_at_ = base::SteadyNow();
    StartCloseTimeout(context_->write_timeout);
    const std::string_view piece = output_.piece();
    stream_.async_write_some(asio::buffer(piece.data(), piece.size()),
                             Bound(&StreamSession::OnWrote));
  }

  void OnWrote(error_code ec, size_t bytes) {
    if (ec) {
      Close();
      return;
    }
    output_.Consume(bytes);
    if (!output_.piece().empty()) {
      WriteSome();
      return;
    }
    writing_ = false;
    watchdog_.Stop();
    ReportDrained();
    WriteQueued();
  }

  void ReportDrained() {
    const size_t bytes = output_.body_bytes();
    if (bytes == 0) {
      return;
    }
    context_->runtime.Post(
        [exchange = exchange_, bytes] { exchange->Drained(bytes); });
  }

  void FinishResponse() {
    body_.Release();
    if (auto exchange = std::exchange(exchange_, nullptr)) {
      --context_->unanswered;
      context_->runtime.Post([exchange] { exchange->Finished(); });
    }
    if (!output_.keep_alive()) {
      Linger();
      return;
    }
    NextRequest();
  }

  void Linger() {
    phase_ = Phase::kLingering;
    Enter(Place::kClosing);
    StartCloseTimeout(kLingerTimeout);
    if constexpr (kTls) {
      stream_.async_shutdown(Bound(&StreamSession::OnTlsShutdown));
    } else {
      OnTlsShutdown({});
    }
  }

  void OnTlsShutdown(error_code /*ec*/) {
    error_code ec;
    Socket().shutdown(tcp::socket::shutdown_send, ec);
    if (!reading_ahead_) {
      Discard();
    }
  }

  void Discard() {
    buffer_.clear();
    Socket().async_read_some(buffer_.prepare(kReadBytes),
                             Bound(&StreamSession::OnDiscarded));
  }

  void OnDiscarded(error_code ec, size_t /*bytes*/) {
    if (ec) {
      Close();
      return;
    }
    Discard();
  }

  std::shared_ptr<SessionContext> context_;
  std::shared_ptr<TlsContext> tls_;
  Stream stream_;
  Watchdog watchdog_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  BodyReservation body_;
  // Size of the body before the read in progress, and bytes read after the head
  // that are not part of it.
  size_t body_before_ = 0;
  size_t framing_bytes_ = 0;
  guard::ConnectionPlaces::Id place_ = 0;
  bool has_request_ = false;
  std::shared_ptr<Exchange::State> exchange_;
  Phase phase_ = Phase::kReading;
  bool reading_ahead_ = false;
  bool timed_out_ = false;
  ResponseOutput output_;
  // Whether a piece of the output is being written.
  bool writing_ = false;
  base::Millis write_started_at_;
};

}  // namespace

std::shared_ptr<Session> Session::Make(tcp::socket socket,
                                       std::shared_ptr<SessionContext> context,
                                       std::shared_ptr<TlsContext> tls) {
  if (!tls) {
    return std::make_shared<StreamSession<PlainStream>>(
        std::move(context), nullptr, std::move(socket));
  }
  asio::ssl::context& tls_context = tls->context();
  return std::make_shared<StreamSession<TlsStream>>(
      std::move(context), std::move(tls), std::move(socket), tls_context);
}

}  // namespace godwit::http
