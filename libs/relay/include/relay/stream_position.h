#ifndef RELAY_STREAM_POSITION_H_
#define RELAY_STREAM_POSITION_H_

#include <cstdint>
#include <optional>
#include <tuple>

namespace godwit::relay {

// How far a caller has received an event stream.
struct StreamPosition {
  // Number of events, including those of earlier servers.
  int64_t events = 0;
  // Id of the last event; empty if no event had one.
  std::optional<int64_t> last_id;
  // Each id so far is the one before it plus one, beginning with one.
  bool is_numbered = true;

  friend bool operator==(const StreamPosition& a, const StreamPosition& b) {
    return std::tie(a.events, a.last_id, a.is_numbered) ==
           std::tie(b.events, b.last_id, b.is_numbered);
  }
  friend bool operator!=(const StreamPosition& a, const StreamPosition& b) {
    return !(a == b);
  }
};

}  // namespace godwit::relay

#endif  // RELAY_STREAM_POSITION_H_
