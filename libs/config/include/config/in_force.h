#ifndef CONFIG_IN_FORCE_H_
#define CONFIG_IN_FORCE_H_

#include <memory>

namespace godwit::config {

struct Config;

// Command of Spread: obey this configuration from now on. Revisions only grow
// over the life of a process.
struct InForce {
  std::shared_ptr<const Config> config;

  friend bool operator==(const InForce& a, const InForce& b) {
    return a.config == b.config;
  }
  friend bool operator!=(const InForce& a, const InForce& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_IN_FORCE_H_
