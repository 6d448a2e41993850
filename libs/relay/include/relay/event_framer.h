#ifndef RELAY_EVENT_FRAMER_H_
#define RELAY_EVENT_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::relay {

// Cuts a text/event-stream body into whole events, so that a stream can go on
// at another backend server after the last event that its caller has. No I/O.
class EventFramer {
 public:
  // Takes a piece of the body. Returns the bytes of events that are whole now
  // and that the caller does not have; valid until the next call.
  std::string_view Feed(std::string_view bytes);

  // The backend server was lost: forgets a part of an event. Events up to the
  // last one are dropped when the next backend server repeats them.
  void Restart();

  // Bytes of an event that is not whole.
  size_t pending_bytes() const noexcept { return pending_.size(); }
  // Events handed on.
  int64_t events() const noexcept { return events_; }
  // Id of the last event handed on; empty before the first with an id.
  std::optional<int64_t> last_id() const noexcept { return last_id_; }

 private:
  void TakeEvent(std::string_view event);

  std::string pending_;
  std::string ready_;
  int64_t events_ = 0;
  std::optional<int64_t> last_id_;
  // Set after Restart: ids up to this one are repeats.
  std::optional<int64_t> resumed_after_;
};

}  // namespace godwit::relay

#endif  // RELAY_EVENT_FRAMER_H_
