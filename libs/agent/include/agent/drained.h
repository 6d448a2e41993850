#ifndef AGENT_DRAINED_H_
#define AGENT_DRAINED_H_

namespace godwit::agent {

// Command: report that the drain is complete: no run is in progress and all
// answers were delivered or are no longer waited for. Emitted once after
// DrainRequested.
struct Drained {
  friend bool operator==(const Drained& /*a*/, const Drained& /*b*/) {
    return true;
  }
  friend bool operator!=(const Drained& /*a*/, const Drained& /*b*/) {
    return false;
  }
};

}  // namespace godwit::agent

#endif  // AGENT_DRAINED_H_
