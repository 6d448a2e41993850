#ifndef RELAY_EVENT_FRAMER_H_
#define RELAY_EVENT_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::relay {

// Splits a text/event-stream body into complete events, so that a stream can be
// resumed on another backend server after the last event that the caller has
// received. Performs no I/O.
class EventFramer {
 public:
  // Consumes a part of the body. Returns the events that are now complete and
  // that the caller has not received; valid until the next call.
  std::string_view Feed(std::string_view bytes);

  // Prepares for the stream of another backend server after the first one was
  // lost: discards an incomplete event, and drops events up to the last
  // returned one if they are repeated.
  void Restart();

  // Size of the buffered part of an incomplete event.
  size_t pending_bytes() const noexcept { return pending_.size(); }
  // True when an event is larger than any that a server sends. The caller must
  // then abandon the stream: each further Feed() costs more time and memory.
  bool is_overlong() const noexcept;
  // Number of events returned so far. Comments, which servers send to keep a
  // connection open, are returned too but are no events.
  int64_t events() const noexcept { return events_; }
  // Number of events dropped so far since the caller has received them, each
  // counted once for a server.
  int64_t repeats() const noexcept { return repeats_; }
  // Id of the last event returned; empty until an event with an id was.
  std::optional<int64_t> last_id() const noexcept { return last_id_; }

 private:
  void AppendEvent(std::string_view event);

  std::string pending_;
  std::string ready_;
  int64_t events_ = 0;
  std::optional<int64_t> last_id_;
  // Set by Restart: events with ids up to this one are repeats.
  std::optional<int64_t> resume_after_id_;
  int64_t repeats_ = 0;
  // Id of the last repeat of this server.
  std::optional<int64_t> last_repeated_id_;
};

}  // namespace godwit::relay

#endif  // RELAY_EVENT_FRAMER_H_
