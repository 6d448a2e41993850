#ifndef CONFIG_CONFIG_CHANGE_H_
#define CONFIG_CONFIG_CHANGE_H_

#include <optional>
#include <string>
#include <tuple>

namespace godwit::config {

// An entry that differs between two configurations.
struct ConfigChange {
  // Path of the entry, such as "services.chat.max_running".
  std::string path;
  // Value before; empty when the entry is added.
  std::optional<std::string> before;
  // Value after; empty when the entry is removed.
  std::optional<std::string> after;

  friend bool operator==(const ConfigChange& a, const ConfigChange& b) {
    return std::tie(a.path, a.before, a.after) ==
           std::tie(b.path, b.before, b.after);
  }
  friend bool operator!=(const ConfigChange& a, const ConfigChange& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_CHANGE_H_
