#ifndef LINK_PULL_CONFIG_H_
#define LINK_PULL_CONFIG_H_

#include <cstdint>
#include <tuple>

namespace godwit::link {

// Requests the configuration of the peer if it is newer than the sender's.
struct PullConfig {
  // Revision that the sender has.
  int64_t after_revision = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("after_revision", self.after_revision);
  }

  friend bool operator==(const PullConfig& a, const PullConfig& b) {
    return std::tie(a.after_revision) == std::tie(b.after_revision);
  }
  friend bool operator!=(const PullConfig& a, const PullConfig& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_PULL_CONFIG_H_
