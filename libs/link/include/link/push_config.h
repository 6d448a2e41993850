#ifndef LINK_PUSH_CONFIG_H_
#define LINK_PUSH_CONFIG_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::link {

// Carries an accepted configuration.
struct PushConfig {
  // Its revision; positive.
  int64_t revision = 0;
  // The YAML text as the operator applied it.
  std::string text;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("revision", self.revision);
    visit("text", self.text);
  }

  friend bool operator==(const PushConfig& a, const PushConfig& b) {
    return std::tie(a.revision, a.text) == std::tie(b.revision, b.text);
  }
  friend bool operator!=(const PushConfig& a, const PushConfig& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_PUSH_CONFIG_H_
