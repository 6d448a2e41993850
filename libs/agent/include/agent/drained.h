#ifndef AGENT_DRAINED_H_
#define AGENT_DRAINED_H_

namespace godwit::agent {

// Nothing runs any more and all answers are handed over; emitted once after
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
