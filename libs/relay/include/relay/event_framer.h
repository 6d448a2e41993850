#ifndef RELAY_EVENT_FRAMER_H_
#define RELAY_EVENT_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "relay/stream_position.h"

namespace godwit::relay {

// Splits the text/event-stream body of one backend server into complete events,
// so that the stream can be resumed on another one after the last event that
// the caller has received. Performs no I/O.
class EventFramer {
 public:
  // `received`: what the caller has received from earlier servers. Events up to
  // it are dropped if they are repeated. `is_resumable`: the ids of the events
  // increase, which is checked.
  explicit EventFramer(const StreamPosition& received = StreamPosition(),
                       bool is_resumable = false)
      : received_(received), is_resumable_(is_resumable), position_(received) {}

  // Consumes a part of the body. Returns the events that are now complete and
  // that the caller has not received; valid until the next call.
  std::string_view Feed(std::string_view bytes);

  // Size of the buffered part of an incomplete event.
  size_t pending_bytes() const noexcept { return pending_.size(); }
  // True when an event is larger than any that a server sends. The caller must
  // then abandon the stream: each further Feed() costs more time and memory.
  bool is_overlong() const noexcept;
  // True when an event can't follow those before it: its id is not above
  // theirs, or events are missing between those of the earlier servers and this
  // one's. It and all later events are not returned.
  bool is_out_of_order() const noexcept { return is_out_of_order_; }
  // What the caller has received once it has the returned events. Comments,
  // which servers send to keep a connection open, are returned too but are no
  // events.
  const StreamPosition& position() const noexcept { return position_; }
  // Number of events dropped so far since the caller has received them, each
  // counted once.
  int64_t repeats() const noexcept { return repeats_; }

 private:
  void AppendEvent(std::string_view event);
  bool MayFollow(int64_t id) const;

  const StreamPosition received_;
  const bool is_resumable_;
  std::string pending_;
  std::string ready_;
  StreamPosition position_;
  bool is_out_of_order_ = false;
  int64_t repeats_ = 0;
  // Id of the last repeat.
  std::optional<int64_t> last_repeated_id_;
};

}  // namespace godwit::relay

#endif  // RELAY_EVENT_FRAMER_H_
