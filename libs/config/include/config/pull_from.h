#ifndef CONFIG_PULL_FROM_H_
#define CONFIG_PULL_FROM_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::config {

// Command of ConfigSync: request the configuration of a peer.
struct PullFrom {
  base::ProcessId peer;
  // Revision that this process has.
  int64_t after_revision = 0;

  friend bool operator==(const PullFrom& a, const PullFrom& b) {
    return std::tie(a.peer, a.after_revision) ==
           std::tie(b.peer, b.after_revision);
  }
  friend bool operator!=(const PullFrom& a, const PullFrom& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_PULL_FROM_H_
