#include "relay/event_framer.h"

#include <charconv>

namespace godwit::relay {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
constexpr size_t kMaxEventBytes = size_t{256} * 1024;

// Parses the numeric id of an event from its line "id: N".
std::optional<int64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      int64_t id = 0;
      const auto [stop, error] =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (error == std::errc()) {
        return id;
      }
      return std::nullopt;
    }
    if (end == std::string_view::npos) {
      break;
    }
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

// True if each line is empty or a comment.
bool IsComment(std::string_view event) {
  bool at_line_start = true;
  for (const char c : event) {
    if (at_line_start && c != ':' && c != '\n') {
      return false;
    }
    at_line_start = c == '\n';
  }
  return true;
}

}  // namespace

std::string_view EventFramer::Feed(std::string_view bytes) {
  ready_.clear();
  if (!pending_.empty()) {
    pending_.append(bytes);
    bytes = pending_;
  }
  size_t taken = 0;
  for (size_t end = bytes.find(kEventEnd); end != std::string_view::npos;
       end = bytes.find(kEventEnd, taken)) {
    if (is_out_of_order_) {
      break;
    }
    const size_t after = end + kEventEnd.size();
    AppendEvent(bytes.substr(taken, after - taken));
    taken = after;
  }
  // `bytes` may be a view into pending_.
  pending_ = std::string(bytes.substr(taken));
  return ready_;
}

void EventFramer::AppendEvent(std::string_view event) {
  if (IsComment(event)) {
    ready_.append(event);
    return;
  }
  const std::optional<int64_t> id = ParseEventId(event);
  if (id && received_.last_id && *id <= *received_.last_id) {
    if (!last_repeated_id_ || *id > *last_repeated_id_) {
      last_repeated_id_ = id;
      ++repeats_;
    }
    return;
  }
  if (id && !MayFollow(*id)) {
    is_out_of_order_ = true;
    return;
  }
  position_.is_numbered =
      position_.is_numbered && id && *id == position_.last_id.value_or(0) + 1;
  if (id) {
    position_.last_id = id;
  }
  ++position_.events;
  ready_.append(event);
}

bool EventFramer::MayFollow(int64_t id) const {
  if (!is_resumable_ || !position_.last_id) {
    return true;
  }
  const bool continues_others =
      received_.events > 0 && position_.events == received_.events;
  return continues_others && position_.is_numbered
             ? id == *position_.last_id + 1
             : id > *position_.last_id;
}

bool EventFramer::is_overlong() const noexcept {
  return pending_.size() > kMaxEventBytes;
}

}  // namespace godwit::relay
