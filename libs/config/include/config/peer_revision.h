#ifndef CONFIG_PEER_REVISION_H_
#define CONFIG_PEER_REVISION_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::config {

// Event of ConfigSync: a peer reported its active revision.
struct PeerRevision {
  base::ProcessId peer;
  // 0 for none.
  int64_t revision = 0;

  friend bool operator==(const PeerRevision& a, const PeerRevision& b) {
    return std::tie(a.peer, a.revision) == std::tie(b.peer, b.revision);
  }
  friend bool operator!=(const PeerRevision& a, const PeerRevision& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_PEER_REVISION_H_
