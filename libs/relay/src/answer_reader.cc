#include "relay/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

#include "chunk_bytes.h"
#include "guard/head_rules.h"
#include "message_parser.h"

namespace godwit::relay {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

// Maximum size of the header block of an answer.
constexpr uint32_t kHeaderBytes = 64 * 1024;
constexpr int kFirstFinalStatus = 200;

class Parser : public MessageParser<false> {
 public:
  Parser(const AnswerReader::Handler& handler, bool is_first)
      : handler_(handler) {
    head_.is_first = is_first;
    header_limit(kHeaderBytes);
    body_limit(std::numeric_limits<uint64_t>::max());
    eager(true);
  }

  bool interim() const noexcept { return head_.status < kFirstFinalStatus; }

 private:
  void on_response_impl(int code,
                        Text /*reason*/,
                        int /*version*/,
                        ErrorCode& ec) override {
    head_.status = code;
    if (!guard::IsAnswerStatus(code)) {
      ec = http::error::bad_status;
    }
  }

  HeaderList& headers() override { return head_.headers; }

  void OnHeader(ErrorCode& ec) override {
    const HeaderList& fields = head_.headers;
    if (!guard::IsUnambiguous({fields.Count("transfer-encoding"),
                               fields.Find("transfer-encoding").value_or(""),
                               fields.Count("content-length"),
                               fields.Find("content-length").value_or("")})) {
      ec = http::error::bad_transfer_encoding;
      return;
    }
    if (const auto length = content_length()) {
      head_.content_length = *length;
    }
    if (!interim()) {
      handler_.on_head(head_);
    }
  }

  void OnBody(std::string_view bytes) override { handler_.on_body(bytes); }

  const AnswerReader::Handler& handler_;
  AnswerHead head_;
};

}  // namespace

struct AnswerReader::State {
  State(Handler h, bool head_only, bool first)
      : handler(std::move(h)), is_head(head_only), is_first(first) {
    Restart();
  }

  void Restart() {
    parser = std::make_unique<Parser>(handler, is_first);
    parser->skip(is_head);
  }

  Handler handler;
  bool is_head;
  bool is_first;
  std::unique_ptr<Parser> parser;
  bool damaged = false;
};

bool EndsWithConnection(const AnswerHead& head) {
  return !head.content_length && !head.headers.Find("Transfer-Encoding");
}

AnswerReader::AnswerReader(Handler handler, bool is_head, bool is_first)
    : state_(std::make_unique<State>(std::move(handler), is_head, is_first)) {}
AnswerReader::~AnswerReader() = default;
AnswerReader::AnswerReader(AnswerReader&&) noexcept = default;
AnswerReader& AnswerReader::operator=(AnswerReader&&) noexcept = default;

size_t AnswerReader::Feed(std::string_view bytes) {
  State& state = *state_;
  size_t taken = 0;
  while (taken < bytes.size() && !state.damaged) {
    if (state.parser->is_done()) {
      if (!state.parser->interim()) {
        break;
      }
      state.Restart();
    }
    if (state.parser->is_header_done() && state.parser->chunked() &&
        bytes.size() - taken < kMinChunkBytes) {
      break;
    }
    const std::string_view unread = bytes.substr(taken);
    if (!state.parser->is_header_done() && guard::HasFoldedLine(unread)) {
      state.damaged = true;
      break;
    }
    error_code error;
    taken += state.parser->put(
        boost::asio::const_buffer(unread.data(), unread.size()), error);
    if (error == http::error::need_more) {
      break;
    }
    state.damaged = static_cast<bool>(error);
  }
  return taken;
}

void AnswerReader::FeedEnd() {
  State& state = *state_;
  if (state.damaged || complete()) {
    return;
  }
  error_code error;
  if (!state.parser->got_some()) {
    state.damaged = true;
    return;
  }
  state.parser->put_eof(error);
  // An interim answer is followed by another one.
  state.damaged = static_cast<bool>(error) || !state.parser->is_done() ||
                  state.parser->interim();
}

bool AnswerReader::complete() const noexcept {
  return !state_->damaged && state_->parser->is_done() &&
         !state_->parser->interim();
}

bool AnswerReader::damaged() const noexcept {
  return state_->damaged;
}

bool AnswerReader::keeps_alive() const noexcept {
  return complete() && state_->parser->keep_alive();
}

}  // namespace godwit::relay
