#ifndef LINK_HEARTBEAT_H_
#define LINK_HEARTBEAT_H_

#include <cstdint>
#include <tuple>

namespace godwit::link {

// Sent at a fixed period in both directions. Carries the state from which peers
// refresh their view of the sender.
struct Heartbeat {
  // Counts up from 1 on each link.
  int64_t sequence = 0;
  // Revision of the configuration in force at the sender.
  int64_t config_revision = 0;
  // True when the sender accepts no new work.
  bool leaving = false;
  // Agent only: runs currently at the backend server.
  int64_t running = 0;
  // Agent only: runs queued for the backend server.
  int64_t queued = 0;
  // Version of the fleet record that the sender uses.
  int64_t fleet_version = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("sequence", self.sequence);
    visit("config_revision", self.config_revision);
    visit("leaving", self.leaving);
    visit("running", self.running);
    visit("queued", self.queued);
    visit("fleet_version", self.fleet_version);
  }

  friend bool operator==(const Heartbeat& a, const Heartbeat& b) {
    return std::tie(a.sequence, a.config_revision, a.leaving, a.running,
                    a.queued, a.fleet_version) ==
           std::tie(b.sequence, b.config_revision, b.leaving, b.running,
                    b.queued, b.fleet_version);
  }
  friend bool operator!=(const Heartbeat& a, const Heartbeat& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_HEARTBEAT_H_
