#ifndef LINK_HELLO_H_
#define LINK_HELLO_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// First message in both directions on a link.
struct Hello {
  // Protocol version of the sender, kProtocolVersion.
  uint32_t protocol = 0;
  // Name of the fleet; a link connects processes of the same fleet only.
  std::string fleet;
  // The sender.
  base::ProcessId process;
  // The incarnation of the sender.
  base::Incarnation incarnation;
  // Where the sender runs.
  base::DataCentreId data_centre;
  // Revision of the configuration in force at the sender; 0 for none.
  int64_t config_revision = 0;
  // True when the sender accepts no new work.
  bool leaving = false;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("protocol", self.protocol);
    visit("fleet", self.fleet);
    visit("process", self.process);
    visit("incarnation", self.incarnation);
    visit("data_centre", self.data_centre);
    visit("config_revision", self.config_revision);
    visit("leaving", self.leaving);
  }

  friend bool operator==(const Hello& a, const Hello& b) {
    return std::tie(a.protocol, a.fleet, a.process, a.incarnation,
                    a.data_centre, a.config_revision, a.leaving) ==
           std::tie(b.protocol, b.fleet, b.process, b.incarnation,
                    b.data_centre, b.config_revision, b.leaving);
  }
  friend bool operator!=(const Hello& a, const Hello& b) { return !(a == b); }
};

}  // namespace godwit::link

#endif  // LINK_HELLO_H_
