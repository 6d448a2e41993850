#ifndef RELAY_LINK_TRAFFIC_H_
#define RELAY_LINK_TRAFFIC_H_

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace godwit::relay {

// Bytes that this process received and sent on the connections of a server or a
// pool since its start.
struct LinkTraffic {
  int64_t received = 0;
  int64_t sent = 0;

  void AddReceived(size_t bytes) { received += static_cast<int64_t>(bytes); }
  void AddSent(size_t bytes) { sent += static_cast<int64_t>(bytes); }

  friend LinkTraffic operator+(const LinkTraffic& a, const LinkTraffic& b) {
    return {a.received + b.received, a.sent + b.sent};
  }
  friend bool operator==(const LinkTraffic& a, const LinkTraffic& b) {
    return std::tie(a.received, a.sent) == std::tie(b.received, b.sent);
  }
  friend bool operator!=(const LinkTraffic& a, const LinkTraffic& b) {
    return !(a == b);
  }
};

}  // namespace godwit::relay

#endif  // RELAY_LINK_TRAFFIC_H_
