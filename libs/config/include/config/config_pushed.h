#ifndef CONFIG_CONFIG_PUSHED_H_
#define CONFIG_CONFIG_PUSHED_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::config {

// Event of ConfigSync: a peer sent its configuration.
struct ConfigPushed {
  int64_t revision = 0;
  std::string text;

  friend bool operator==(const ConfigPushed& a, const ConfigPushed& b) {
    return std::tie(a.revision, a.text) == std::tie(b.revision, b.text);
  }
  friend bool operator!=(const ConfigPushed& a, const ConfigPushed& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_PUSHED_H_
