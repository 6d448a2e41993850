#ifndef CONFIG_CONFIG_REJECTED_H_
#define CONFIG_CONFIG_REJECTED_H_

#include <cstdint>
#include <tuple>

#include "base/error.h"

namespace godwit::config {

// Command of ConfigSync: report a configuration that is invalid and was not
// activated.
struct ConfigRejected {
  int64_t revision = 0;
  base::Error error;

  friend bool operator==(const ConfigRejected& a, const ConfigRejected& b) {
    return std::tie(a.revision, a.error) == std::tie(b.revision, b.error);
  }
  friend bool operator!=(const ConfigRejected& a, const ConfigRejected& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_REJECTED_H_
