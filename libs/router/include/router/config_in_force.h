#ifndef ROUTER_CONFIG_IN_FORCE_H_
#define ROUTER_CONFIG_IN_FORCE_H_

#include <memory>

#include "config/config.h"

namespace godwit::router {

// Event: a configuration took effect.
struct ConfigInForce {
  std::shared_ptr<const config::Config> config;
};

}  // namespace godwit::router

#endif  // ROUTER_CONFIG_IN_FORCE_H_
