#include "agent/engine_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/engine_request.h"

namespace godwit::agent {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kCrLfEventEnd = "\r\n\r\n";
constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kFinalEventData = "[DONE]";
// Longer answers pass through without being parsed for usage.
constexpr size_t kMaxParsedBytes = size_t{8} * 1024 * 1024;

// Returns the position after the first event end at or after `from`, or npos.
size_t FindEventEnd(std::string_view text, size_t from) noexcept {
  const size_t lf = text.find(kEventEnd, from);
  const size_t crlf = text.find(kCrLfEventEnd, from);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::string_view::npos;
  }
  return lf < crlf ? lf + kEventEnd.size() : crlf + kCrLfEventEnd.size();
}

// Returns the data of an event without surrounding spaces; empty for comments.
std::string_view DataOf(std::string_view event) noexcept {
  if (event.substr(0, kDataPrefix.size()) != kDataPrefix) {
    return {};
  }
  event.remove_prefix(kDataPrefix.size());
  const size_t first = event.find_first_not_of(' ');
  const size_t last = event.find_last_not_of("\r\n ");
  if (first == std::string_view::npos || last == std::string_view::npos) {
    return {};
  }
  return event.substr(first, last - first + 1);
}

base::Tokens CountOr(const Json& object, const char* name, base::Tokens other) {
  const auto found = object.find(name);
  const bool valid = found != object.end() && found->is_number_integer();
  return valid ? std::max<base::Tokens>(found->get<base::Tokens>(), 0) : other;
}

// Returns the first choice of an answer or event, or null if there is none.
const Json* FirstChoice(const Json& answer) {
  const auto choices = answer.find("choices");
  if (choices == answer.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return nullptr;
  }
  return &choices->front();
}

bool HasContent(const Json& choice) {
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) {
    return false;
  }
  const auto content = delta->find("content");
  return content != delta->end() && content->is_string() &&
         !content->get_ref<const std::string&>().empty();
}

bool HasFinishReason(const Json& choice) {
  const auto reason = choice.find("finish_reason");
  return reason != choice.end() && !reason->is_null();
}

}  // namespace

EngineAnswer::EngineAnswer(const link::StartRun& start)
    : stream_(RequestsStream(start.body)),
      resumes_(!start.answer_prefix.empty()),
      prompt_tokens_(
          std::max<base::Tokens>(start.reserved - start.output_cap, 0)) {
  if (stream_) {
    Feed(start.answer_prefix);
    counted_ = std::max(counted_, start.resume_tokens);
  }
}

EngineAnswer::Piece EngineAnswer::Feed(std::string_view bytes) {
  Piece piece;
  if (!stream_) {
    piece.bytes = std::string(bytes);
    if (buffer_.size() + bytes.size() <= kMaxParsedBytes) {
      buffer_.append(bytes);
    }
    return piece;
  }
  buffer_.append(bytes);
  size_t consumed = 0;
  size_t end = FindEventEnd(buffer_, searched_);
  while (end != std::string_view::npos) {
    ProcessEvent(std::string_view(buffer_).substr(consumed, end - consumed),
                 piece);
    consumed = end;
    end = FindEventEnd(buffer_, consumed);
  }
  buffer_.erase(0, consumed);
  searched_ =
      buffer_.size() - std::min(buffer_.size(), kCrLfEventEnd.size() - 1);
  return piece;
}

EngineAnswer::Piece EngineAnswer::Finish() {
  Piece piece;
  if (!stream_) {
    ReadJson(buffer_);
  } else if (!done_ && !resumes_) {
    piece.bytes = std::move(buffer_);
  }
  buffer_.clear();
  return piece;
}

base::Tokens EngineAnswer::completion_tokens() const noexcept {
  return has_usage_ ? completion_tokens_ : counted_;
}

base::Tokens EngineAnswer::CountTokens(std::string_view events) {
  link::StartRun start;
  start.body = R"({"stream":true})";
  EngineAnswer answer(start);
  return answer.Feed(events).tokens;
}

void EngineAnswer::ProcessEvent(std::string_view event, Piece& piece) {
  const bool was_finished = finished_;
  const bool was_done = done_;
  const std::string_view data = DataOf(event);
  bool content = false;
  if (data == kFinalEventData) {
    done_ = true;
  } else if (!data.empty()) {
    content = ReadJson(data);
  }
  if (was_done || (was_finished && !content && !done_)) {
    return;
  }
  piece.bytes.append(event);
  piece.tokens += content ? 1 : 0;
  counted_ += content ? 1 : 0;
}

bool EngineAnswer::ReadJson(std::string_view text) {
  const Json answer = Json::parse(text.begin(), text.end(), nullptr, false);
  if (!answer.is_object()) {
    return false;
  }
  const auto usage = answer.find("usage");
  if (usage != answer.end() && usage->is_object()) {
    has_usage_ = true;
    prompt_tokens_ = CountOr(*usage, "prompt_tokens", prompt_tokens_);
    completion_tokens_ = CountOr(*usage, "completion_tokens", counted_);
  }
  const Json* choice = FirstChoice(answer);
  if (choice == nullptr) {
    return false;
  }
  finished_ = finished_ || HasFinishReason(*choice);
  return HasContent(*choice);
}

}  // namespace godwit::agent
