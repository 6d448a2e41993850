#include "relay/request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "chunk_bytes.h"
#include "guard/head_rules.h"
#include "message_parser.h"

namespace godwit::relay {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kVersionNotSupported = 505;
constexpr int kHttp11 = 11;
// Bytes of chunk sizes, extensions and line ends for each byte of a body,
// beside those that the limit on the head allows: chunks of one byte take five.
constexpr size_t kMaxFramingPerBodyByte = 16;

class Parser : public MessageParser<true> {
 public:
  RequestHead head;
  std::string body;
  std::string reason;
  int version = 0;

 private:
  void Refuse(ErrorCode& ec, std::string reason_text) {
    reason = std::move(reason_text);
    ec = http::error::bad_field;
  }

  void on_request_impl(http::verb /*verb*/,
                       Text method,
                       Text target,
                       int http_version,
                       ErrorCode& /*ec*/) override {
    head.method = std::string(View(method));
    head.target = std::string(View(target));
    version = http_version;
  }

  HeaderList& headers() override { return head.headers; }

  void OnHeader(ErrorCode& ec) override {
    const size_t codings = head.headers.Count("transfer-encoding");
    const size_t lengths = head.headers.Count("content-length");
    if (codings > 1 ||
        (codings == 1 &&
         !EqualsIgnoringCase(*head.headers.Find("transfer-encoding"),
                             "chunked"))) {
      return Refuse(ec, "transfer coding other than chunked");
    }
    if (lengths > 1 || (lengths == 1 && codings == 1)) {
      return Refuse(ec, "the length of the body is given twice");
    }
    if (head.headers.Count("host") != 1) {
      return Refuse(ec, "a request needs one Host header");
    }
  }

  void on_body_init_impl(const boost::optional<uint64_t>& length,
                         ErrorCode& /*ec*/) override {
    // Growing would take up to three times the size of the body for a moment.
    body.reserve(length ? static_cast<size_t>(*length) : 0);
  }

  void OnBody(std::string_view bytes) override { body.append(bytes); }
};

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return kTooLarge;
  }
  if (error == http::error::bad_version) {
    return kVersionNotSupported;
  }
  return kBadRequest;
}

}  // namespace

struct RequestReader::State {
  explicit State(Limits limits) : header_bytes(limits.header_bytes) {
    parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
  }

  void Fail(int code, std::string reason_text) {
    status = code;
    reason = std::move(reason_text);
  }

  // Bounds the chunk sizes, extensions and trailers of a body, of which
  // `unparsed` bytes wait for the end of a line or of the trailers.
  void CheckFraming(size_t unparsed) {
    if (unparsed > header_bytes ||
        framing_bytes >
            header_bytes + kMaxFramingPerBodyByte * parser.body.size()) {
      Fail(kHeaderTooLarge,
           "the trailers or the framing of chunks are too large");
    }
  }

  Parser parser;
  size_t header_bytes;
  // Bytes after the head that are not part of the body.
  size_t framing_bytes = 0;
  int status = 0;
  std::string reason;
};

RequestReader::RequestReader(Limits limits)
    : state_(std::make_unique<State>(limits)) {}
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;

size_t RequestReader::Feed(std::string_view bytes) {
  State& state = *state_;
  size_t taken = 0;
  while (taken < bytes.size() && state.status == 0 && !state.parser.is_done()) {
    const std::string_view unread = bytes.substr(taken);
    if (state.parser.is_header_done() && state.parser.chunked() &&
        unread.size() < kMinChunkBytes) {
      break;
    }
    if (!state.parser.is_header_done() && guard::HasFoldedLine(unread)) {
      state.Fail(kBadRequest, "a header line is folded");
      break;
    }
    const bool is_body = state.parser.is_header_done();
    const size_t body_before = state.parser.body.size();
    error_code error;
    const size_t parsed = state.parser.put(
        boost::asio::const_buffer(unread.data(), unread.size()), error);
    taken += parsed;
    if (is_body && state.parser.chunked() &&
        (!error || error == http::error::need_more)) {
      state.framing_bytes += parsed - (state.parser.body.size() - body_before);
      state.CheckFraming(unread.size() - parsed);
    }
    if (error == http::error::need_more) {
      if (!state.parser.is_header_done() &&
          bytes.size() - taken > state.header_bytes) {
        state.Fail(kHeaderTooLarge, "the header is too large");
      }
      break;
    }
    if (error) {
      state.Fail(StatusOf(error), state.parser.reason.empty()
                                      ? error.message()
                                      : state.parser.reason);
    } else if (state.parser.is_header_done() &&
               state.parser.version != kHttp11) {
      state.Fail(kVersionNotSupported, "only HTTP/1.1 is served");
    }
  }
  return taken;
}

bool RequestReader::has_head() const noexcept {
  return state_->parser.is_header_done();
}

bool RequestReader::complete() const noexcept {
  return state_->status == 0 && state_->parser.is_done();
}

int RequestReader::refusal_status() const noexcept {
  return state_->status;
}

const std::string& RequestReader::refusal_reason() const noexcept {
  return state_->reason;
}

const RequestHead& RequestReader::head() const noexcept {
  return state_->parser.head;
}

size_t RequestReader::body_bytes() const noexcept {
  return state_->parser.body.size();
}

std::optional<size_t> RequestReader::stated_body_bytes() const {
  const auto length = state_->parser.content_length();
  return length ? std::make_optional(static_cast<size_t>(*length))
                : std::nullopt;
}

std::string RequestReader::TakeBody() {
  return std::move(state_->parser.body);
}

}  // namespace godwit::relay
