#ifndef CONFIG_ACTIVATE_CONFIG_H_
#define CONFIG_ACTIVATE_CONFIG_H_

#include <memory>

namespace godwit::config {

struct Config;

// Command of ConfigSync: use this configuration from now on. Revisions only
// increase during the lifetime of a process.
struct ActivateConfig {
  std::shared_ptr<const Config> config;

  friend bool operator==(const ActivateConfig& a, const ActivateConfig& b) {
    return a.config == b.config;
  }
  friend bool operator!=(const ActivateConfig& a, const ActivateConfig& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_ACTIVATE_CONFIG_H_
