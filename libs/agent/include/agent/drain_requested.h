#ifndef AGENT_DRAIN_REQUESTED_H_
#define AGENT_DRAIN_REQUESTED_H_

namespace godwit::agent {

// Event: the process is to stop. New runs are refused; queued and running ones
// are completed.
struct DrainRequested {
  friend bool operator==(const DrainRequested& /*a*/,
                         const DrainRequested& /*b*/) {
    return true;
  }
  friend bool operator!=(const DrainRequested& /*a*/,
                         const DrainRequested& /*b*/) {
    return false;
  }
};

}  // namespace godwit::agent

#endif  // AGENT_DRAIN_REQUESTED_H_
