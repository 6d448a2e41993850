#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "config/organisation.h"
#include "config/service.h"
#include "config/traffic_class.h"

namespace godwit::config {

// One accepted configuration. Immutable once parsed; see config::Parser.
struct Config {
  // Version of its KV key; 0 for a text not applied.
  int64_t revision = 0;
  // The YAML text that it was parsed from.
  std::string text;
  // In document order.
  std::vector<Service> services;
  // In document order; the first is the default.
  std::vector<TrafficClass> classes;
  // In document order.
  std::vector<Organisation> organisations;

  friend bool operator==(const Config& a, const Config& b) {
    return std::tie(a.revision, a.text, a.services, a.classes,
                    a.organisations) ==
           std::tie(b.revision, b.text, b.services, b.classes, b.organisations);
  }
  friend bool operator!=(const Config& a, const Config& b) { return !(a == b); }
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_H_
